#!/usr/bin/env bash
# Idle connections take all descriptors of the process, so that no other caller is
# served.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 8750
crowd_descriptors=200
crowd_site
crowd mode=idle connections=300 read=4096
check_crowd
finish
