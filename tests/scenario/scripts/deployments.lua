-- The two deployments of the users, as stages.
local deployments = {}

local function fleet(service, zones, targets, slots, work_ms)
  for i = 1, targets do
    upstream{id = service .. "-" .. i, service = service, zone = zones[(i - 1) % #zones + 1],
             host = i, slots = slots, work_ms = work_ms}
  end
end

-- Pétalo Seco Andino: three availability zones, lote with 20 targets of 7 slots.
function deployments.arequipa(options)
  options.link_ms = options.link_ms or 0.5
  stage(options)
  service{name = "lote", floor = 0.5}
  fleet("lote", {"aqp-1", "aqp-2", "aqp-3"}, 20, 7, 20)
end

-- The Chokha and Kaba trust: four zones, lending-desk with 18 targets of 6 slots.
function deployments.tbilisi(options)
  options.link_ms = options.link_ms or 1
  stage(options)
  service{name = "lending-desk", floor = 0.5}
  fleet("lending-desk", {"tbs-1", "tbs-2", "tbs-3", "tbs-4"}, 18, 6, 25)
end

-- Eight organisations, two of them large; `total` requests a second in all.
function deployments.organisations(service, total, sends)
  local shares = {0.25, 0.25, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05}
  for i, share in ipairs(shares) do
    local rate = total * share
    organisation{name = "organisation-" .. i, service = service, rate = rate, burst = rate,
                 send = rate * ((sends and sends[i]) or 0.9)}
  end
end

function deployments.percentile(values, share)
  table.sort(values)
  return values[math.floor(share * (#values - 1) + 0.5) + 1]
end

return deployments
