-- An upstream turns cold, with and without warning, under full load: it is sent
-- no more than it bears.
local deployments = require("deployments")

for seed = 1, 5 do
  deployments.arequipa{seed = seed}
  for i = 1, 20 do chill("lote-" .. i, 10) end
  deployments.organisations("lote", 1200)
  run(30000)
  for i = 1, 20 do
    expect("a fleet that starts cold is not overloaded (" .. seed .. ", " .. i .. ")",
           overloads("lote-" .. i) == 0)
  end
end
