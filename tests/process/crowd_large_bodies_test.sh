#!/usr/bin/env bash
# Many large bodies at once that stop just short of their end take the process
# beyond the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 2750
crowd_site
crowd mode=bodies connections=40 body=8388608 short-by=1 piece=1048576 read=4096
check_crowd
finish
