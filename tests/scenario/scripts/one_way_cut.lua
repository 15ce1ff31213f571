-- The path from one ingress to some hosts is cut: the upstreams there are not
-- blamed for it, and the requests of that ingress go elsewhere.
local deployments = require("deployments")

for seed = 1, 5 do
  deployments.arequipa{seed = seed}
  deployments.organisations("lote", 400)
  run(15000)
  for host = 1, 6 do cut(0, host) end
  run(10000)
  expect("no upstream is ejected for a cut path", false_ejections() == 0)
  expect("few requests are lost", worst_organisation() >= 0.97)
  local before = answered("lote-1")
  for host = 1, 6 do heal(0, host) end
  run(10000)
  expect("the hosts are used again", answered("lote-1") > before)
end
