-- An upstream that is bad for two seconds and good for two. It may not keep its
-- share of the work, and the others may not suffer for it.
local deployments = require("deployments")

for seed = 1, 5 do
  deployments.arequipa{seed = seed}
  deployments.organisations("lote", 600)
  run(15000)
  local before, other = answered("lote-3"), answered("lote-4")
  for i = 0, 14 do
    at(i * 4000, function() fault("lote-3", {errors = 0.9}) end)
    at(i * 4000 + 2000, function() fault("lote-3", {}) end)
  end
  run(60000)
  local flapping, steady = answered("lote-3") - before, answered("lote-4") - other
  expect("the flapping upstream gets less than half of a steady one's work", flapping < steady / 2)
  expect("nobody else is ejected", false_ejections() == 0)
end
