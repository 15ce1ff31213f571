-- The whole service turns slow, then half of it fails: nobody stands out, and
-- the floor is kept.
local deployments = require("deployments")

for seed = 1, 5 do
  deployments.arequipa{seed = seed}
  deployments.organisations("lote", 300)
  run(15000)
  for i = 1, 20 do fault("lote-" .. i, {slow_ms = 150}) end
  run(15000)
  local ejected = 0
  for i = 1, 20 do
    if detected_ms("lote-" .. i) >= 0 then ejected = ejected + 1 end
  end
  expect("a whole service that is slow is not ejected", ejected <= 1)
  for i = 1, 20 do fault("lote-" .. i, {}) end
  run(5000)
  for i = 1, 14 do fault("lote-" .. i, {errors = 0.9}) end
  run(15000)
  expect("never more than the floor allows", most_ejected() <= 0.5)
end
