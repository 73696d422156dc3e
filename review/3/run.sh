#!/usr/bin/env bash
# Runs case 3; TROUBLE=0 leaves the restart of the router out. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 118 java -Xmx256m -cp target/review LeavingCase review/3
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
