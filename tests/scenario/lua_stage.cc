#include "tests/scenario/lua_stage.h"

#include <cstdio>
#include <functional>
#include <lua.hpp>
#include <memory>

#include "tests/scenario/stage.h"

namespace kingcupstair::scenario {
namespace {

/// The stage of the script that runs, and what its checks came to.
struct Session {
  std::unique_ptr<Stage> stage;
  ScriptResult result;
};

Session& SessionOf(lua_State* lua) {
  return *static_cast<Session*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

Stage& StageOf(lua_State* lua) {
  Session& session = SessionOf(lua);
  if (session.stage == nullptr) {
    luaL_error(lua, "a script begins with stage{}");
  }
  return *session.stage;
}

double NumberIn(lua_State* lua, int table, const char* name, double fallback) {
  lua_getfield(lua, table, name);
  const double value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

std::string TextIn(lua_State* lua, int table, const char* name) {
  lua_getfield(lua, table, name);
  const std::string value = luaL_optstring(lua, -1, "");
  lua_pop(lua, 1);
  return value;
}

bool FlagIn(lua_State* lua, int table, const char* name, bool fallback) {
  lua_getfield(lua, table, name);
  const bool value =
      lua_isnil(lua, -1) ? fallback : lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  return value;
}

Duration MillisOf(double millis) {
  return Duration(static_cast<int64_t>(millis * 1000));
}

int BeginStage(lua_State* lua) {
  SessionOf(lua).stage = std::make_unique<Stage>(Stage::Options{
      .seed = static_cast<uint64_t>(NumberIn(lua, 1, "seed", 1)),
      .ingresses = static_cast<int>(NumberIn(lua, 1, "ingresses", 3)),
      .baseline_judgement = TextIn(lua, 1, "judgement") == "baseline",
      .single_queue = TextIn(lua, 1, "queue") == "single",
      .deadline = MillisOf(NumberIn(lua, 1, "deadline_ms", 1000)),
      .link = MillisOf(NumberIn(lua, 1, "link_ms", 0.5))});
  return 0;
}

int AddService(lua_State* lua) {
  StageOf(lua).AddService(TextIn(lua, 1, "name"),
                          NumberIn(lua, 1, "floor", 0.5));
  return 0;
}

int AddUpstream(lua_State* lua) {
  StageOf(lua).AddUpstream(
      {.id = TextIn(lua, 1, "id"),
       .service = TextIn(lua, 1, "service"),
       .zone = TextIn(lua, 1, "zone"),
       .host = static_cast<int>(NumberIn(lua, 1, "host", 0)),
       .slots = static_cast<int>(NumberIn(lua, 1, "slots", 7)),
       .work = MillisOf(NumberIn(lua, 1, "work_ms", 20))});
  return 0;
}

int AddOrganisation(lua_State* lua) {
  const double rate = NumberIn(lua, 1, "rate", 10);
  StageOf(lua).AddOrganisation({.name = TextIn(lua, 1, "name"),
                                .rate = rate,
                                .burst = NumberIn(lua, 1, "burst", rate),
                                .send = NumberIn(lua, 1, "send", rate),
                                .service = TextIn(lua, 1, "service")});
  return 0;
}

int SetFault(lua_State* lua) {
  StageOf(lua).SetFault(luaL_checkstring(lua, 1),
                        {.slow = MillisOf(NumberIn(lua, 2, "slow_ms", 0)),
                         .error_share = NumberIn(lua, 2, "errors", 0),
                         .hang = FlagIn(lua, 2, "hang", false),
                         .lie = FlagIn(lua, 2, "lie", true)});
  return 0;
}

int Chill(lua_State* lua) {
  StageOf(lua).Chill(luaL_checkstring(lua, 1),
                     static_cast<int>(luaL_checkinteger(lua, 2)));
  return 0;
}

int ZoneOut(lua_State* lua) {
  StageOf(lua).SetZoneOut(luaL_checkstring(lua, 1), true);
  return 0;
}

int ZoneIn(lua_State* lua) {
  StageOf(lua).SetZoneOut(luaL_checkstring(lua, 1), false);
  return 0;
}

int Cut(lua_State* lua) {
  StageOf(lua).CutPath(static_cast<int>(luaL_checkinteger(lua, 1)),
                       static_cast<int>(luaL_checkinteger(lua, 2)), true);
  return 0;
}

int Heal(lua_State* lua) {
  StageOf(lua).CutPath(static_cast<int>(luaL_checkinteger(lua, 1)),
                       static_cast<int>(luaL_checkinteger(lua, 2)), false);
  return 0;
}

int At(lua_State* lua) {
  const Duration delay = MillisOf(luaL_checknumber(lua, 1));
  lua_pushvalue(lua, 2);
  const int function = luaL_ref(lua, LUA_REGISTRYINDEX);
  StageOf(lua).After(delay, [lua, function] {
    lua_rawgeti(lua, LUA_REGISTRYINDEX, function);
    lua_call(lua, 0, 0);
  });
  return 0;
}

int Run(lua_State* lua) {
  StageOf(lua).Run(MillisOf(luaL_checknumber(lua, 1)));
  return 0;
}

int BeginTally(lua_State* lua) {
  StageOf(lua).BeginTally();
  return 0;
}

int Detected(lua_State* lua) {
  lua_pushnumber(lua, StageOf(lua).DetectMillis(luaL_checkstring(lua, 1)));
  return 1;
}

int FalseEjections(lua_State* lua) {
  lua_pushinteger(lua, StageOf(lua).FalseEjections());
  return 1;
}

int MostEjected(lua_State* lua) {
  lua_pushnumber(lua, StageOf(lua).MostEjectedShare());
  return 1;
}

int Overloads(lua_State* lua) {
  lua_pushinteger(lua, StageOf(lua).Overloads(luaL_checkstring(lua, 1)));
  return 1;
}

int Answered(lua_State* lua) {
  lua_pushinteger(lua, StageOf(lua).AnsweredBy(luaL_checkstring(lua, 1)));
  return 1;
}

int Worst(lua_State* lua) {
  lua_pushnumber(lua, StageOf(lua).WorstOrganisation());
  return 1;
}

int ShareOf(lua_State* lua) {
  lua_pushnumber(lua, StageOf(lua).ShareOf(luaL_checkstring(lua, 1)));
  return 1;
}

int Refused(lua_State* lua) {
  lua_pushnumber(lua, StageOf(lua).RefusedInRate());
  return 1;
}

int Expect(lua_State* lua) {
  ScriptResult& result = SessionOf(lua).result;
  const bool held = lua_toboolean(lua, 2) != 0;
  (held ? result.passed : result.failed) += 1;
  if (!held) {
    std::printf("FAILED: %s\n", luaL_checkstring(lua, 1));
  }
  return 0;
}

int Measure(lua_State* lua) {
  std::printf("measure %s %.4g %s\n", luaL_checkstring(lua, 1),
              luaL_checknumber(lua, 2), luaL_checkstring(lua, 3));
  return 0;
}

void Register(lua_State* lua, Session& session) {
  constexpr luaL_Reg kVerbs[] = {{"stage", BeginStage},
                                 {"service", AddService},
                                 {"upstream", AddUpstream},
                                 {"organisation", AddOrganisation},
                                 {"fault", SetFault},
                                 {"chill", Chill},
                                 {"zone_out", ZoneOut},
                                 {"zone_in", ZoneIn},
                                 {"cut", Cut},
                                 {"heal", Heal},
                                 {"at", At},
                                 {"run", Run},
                                 {"begin_tally", BeginTally},
                                 {"detected_ms", Detected},
                                 {"false_ejections", FalseEjections},
                                 {"most_ejected", MostEjected},
                                 {"overloads", Overloads},
                                 {"answered", Answered},
                                 {"worst_organisation", Worst},
                                 {"refused_in_rate", Refused},
                                 {"share_of", ShareOf},
                                 {"expect", Expect},
                                 {"measure", Measure}};
  for (const luaL_Reg& verb : kVerbs) {
    lua_pushlightuserdata(lua, &session);
    lua_pushcclosure(lua, verb.func, 1);
    lua_setglobal(lua, verb.name);
  }
}

}  // namespace

ScriptResult RunScript(const std::string& path) {
  Session session;
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             &lua_close);
  luaL_openlibs(lua.get());
  Register(lua.get(), session);
  // Scripts share the deployments of the users, kept beside them.
  const std::string folder = path.substr(0, path.rfind('/') + 1);
  const std::string search =
      "package.path = '" + folder + "?.lua;' .. package.path";
  luaL_dostring(lua.get(), search.c_str());
  if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
    session.result.error = lua_tostring(lua.get(), -1);
  }
  return session.result;
}

}  // namespace kingcupstair::scenario
