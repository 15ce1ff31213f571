#!/usr/bin/env bash
# Many chunked bodies in large chunks, without their last chunk, take the process
# beyond the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 4750
crowd_site
crowd mode=chunks connections=40 body=8000000 piece=500000 read=4096
check_crowd
finish
