"""Decision logic of load balancing; it uses no I/O, threads or clocks."""
