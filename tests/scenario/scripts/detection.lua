-- One upstream turns grey among healthy ones. Target: found within 5 s by most
-- ingresses, nobody else ejected, the floor kept.
local deployments = require("deployments")

local faults = {
  slow = {slow_ms = 200},
  errors = {errors = 0.6},
  hang = {hang = true},
}

local function run_one(judgement, seed, fault)
  deployments.arequipa{seed = seed, judgement = judgement}
  deployments.organisations("lote", 800)
  run(20000)
  fault_time = fault
  _G.fault("lote-3", fault)
  run(15000)
  local found = detected_ms("lote-3")
  return found < 0 and 15000 or found, false_ejections(), most_ejected()
end

for name, kind in pairs({slow = faults.slow, errors = faults.errors, hang = faults.hang}) do
  for _, judgement in ipairs{"ours", "baseline"} do
    local times, wrong, most = {}, 0, 0
    for seed = 1, 8 do
      local found, false_count, share = run_one(judgement, seed, kind)
      times[#times + 1] = found
      wrong = wrong + false_count
      most = math.max(most, share)
    end
    local suffix = judgement == "ours" and "" or ".baseline"
    measure("detect." .. name .. ".p50" .. suffix, deployments.percentile(times, 0.5), "ms")
    measure("detect." .. name .. ".max" .. suffix, deployments.percentile(times, 1), "ms")
    measure("ejections.false." .. name .. suffix, wrong, "count")
    if judgement == "ours" then
      expect(name .. ": found within 5 s at every seed", deployments.percentile(times, 1) <= 5000)
      expect(name .. ": nobody else is ejected", wrong == 0)
      expect(name .. ": at most half is ejected", most <= 0.5)
    end
  end
end
