#!/usr/bin/env bash
# Long responses that many clients read slowly take the process beyond the memory
# of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 6750
crowd_site
crowd mode=requests connections=40 target=/lote/status/1 response=8000000 read=512
check_crowd
finish
