-- One tenant sends five times its rate beside seven inside theirs, while an
-- availability zone leaves and returns, in both deployments: once at a load that
-- the other zones bear, once at one that they do not. Held against one queue
-- for all. The worst-served of the seven is what counts.
local deployments = require("deployments")

local places = {
  arequipa = {service = "lote", zone = "aqp-2", bearable = 4600, overload = 5600},
  tbilisi = {service = "lending-desk", zone = "tbs-3", bearable = 3200, overload = 3900},
}
local sends = {5, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9}

local function worst_of_seven()
  local worst = 1
  for i = 2, 8 do worst = math.min(worst, share_of("organisation-" .. i)) end
  return worst
end

local function leave_and_return(name, queue, load, seed)
  local place = places[name]
  deployments[name]{seed = seed, queue = queue}
  deployments.organisations(place.service, place[load], sends)
  run(15000)
  begin_tally()
  at(5000, function() zone_out(place.zone) end)
  at(15000, function() zone_in(place.zone) end)
  run(25000)
  return worst_of_seven(), 1 - refused_in_rate()
end

for _, name in ipairs{"arequipa", "tbilisi"} do
  for _, load in ipairs{"bearable", "overload"} do
    for _, queue in ipairs{"fair", "single"} do
      local worst, answered = 1, 1
      for seed = 1, 2 do
        local seven, all = leave_and_return(name, queue, load, seed)
        worst = math.min(worst, seven)
        answered = math.min(answered, all)
      end
      local suffix = "." .. name .. "." .. load .. (queue == "fair" and "" or ".one_queue")
      measure("fairness.worst_organisation" .. suffix, worst, "share")
      measure("zone.leave_return.answered" .. suffix, answered, "share")
      if queue == "fair" then
        expect(name .. ", " .. load .. ": the worst-served of the seven gets 95 in 100", worst >= 0.95)
      end
    end
  end
end
