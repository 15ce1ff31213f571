#!/usr/bin/env bash
# Many chunked bodies in chunks of a few bytes, without their last chunk, take the
# process beyond the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 5750
crowd_site
crowd mode=chunks connections=40 body=5000000 piece=8 read=4096
check_crowd
finish
