#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 118 python3 review/15/case.py
