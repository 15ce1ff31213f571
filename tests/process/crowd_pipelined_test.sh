#!/usr/bin/env bash
# Many clients send pipelined requests and don't read the responses, which take the
# process beyond the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 9750
crowd_site
crowd mode=requests connections=800 target=/lote/status/1 response=60000 requests=100 read=0
check_crowd
finish
