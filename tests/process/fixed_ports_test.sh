#!/usr/bin/env bash
# The fixed ports of a test are taken by another process: by another test, or as
# the local port of a connection.
. "$(dirname "$0")/lib.sh"
bases=$(sed -nE 's/^ *site_begin "\$dir" ([0-9]+).*/\1/p' tests/process/*_test.sh
  sed -nE 's/^ *bash soak\/soak.sh .* ([0-9]{4,})( .*)?$/\1/p; s/^base="\$\{4:-([0-9]+)\}"$/\1/p' soak/*.sh)
tests=$(ls tests/process/*_test.sh | grep -vc fixed_ports)
expect "the base ports of all tests are known" "$(wc -w <<<"$bases")" -ge $((tests + 2))
expect "no two tests have a base port in common" -z "$(sort <<<"$bases" | uniq -d)"
for base in $bases; do
  (site_begin "$dir/$base" "$base" 2>"$dir/error") ||
    expect "the ports from $base on can be fixed: $(cat "$dir/error")" 1 = 0
done
read -r first_ephemeral _ </proc/sys/net/ipv4/ip_local_port_range
expect "a base port with ephemeral ports is refused" \
  "$( (site_begin "$dir/refused" "$first_ephemeral") 2>/dev/null && echo taken)" = ""
finish
