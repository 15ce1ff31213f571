#!/usr/bin/env bash
# Many long headers that come field by field and don't end take the process beyond
# the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 7750
crowd_site
crowd mode=headers connections=1500 body=60000 piece=1000 read=4096
check_crowd
finish
