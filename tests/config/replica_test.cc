#include "components/config/replica.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include "components/config/chunks.h"

namespace kingcupstair::config {
namespace {

struct Version {
  Head head;
  std::vector<Chunk> chunks;
};

Version MakeVersion(uint64_t revision, const std::string& text) {
  Version version{.head = {.revision = revision}};
  version.chunks = SplitIntoChunks(text);
  for (const Chunk& chunk : version.chunks) {
    version.head.chunks.push_back(chunk.id);
  }
  return version;
}

Version ValidVersion(uint64_t revision) {
  return MakeVersion(
      revision, "service s" + std::to_string(revision) + " # asked by: R\n");
}

/// A text of several chunks.
std::string LongText() {
  constexpr int kLines = 2000;
  std::string text;
  for (int i = 0; i < kLines; ++i) {
    text += "service s" + std::to_string(i) + " # asked by: R\n";
  }
  return text;
}

void AddAllChunks(Reception& reception, const Version& version) {
  for (const Chunk& chunk : version.chunks) {
    reception.AddChunk(chunk.id, chunk.text);
  }
}

void ReceiveAndAdopt(Replica& replica, const Version& version) {
  auto reception = replica.Receive(version.head);
  if (reception.has_value()) {
    AddAllChunks(*reception, version);
    replica.Adopt(*reception);
  }
}

Configuration ActiveOf(const Version& version) {
  Replica replica;
  ReceiveAndAdopt(replica, version);
  return *replica.ActiveConfiguration();
}

TEST_GROUP(Replica) {
  Replica replica;
};

TEST(Replica, AdoptsOnlyWithAllChunks) {
  const Version version = ValidVersion(1);
  auto reception = this->replica.Receive(version.head);
  CHECK(reception.has_value());
  CHECK_FALSE(this->replica.Adopt(*reception).has_value());
  LONGS_EQUAL(0, this->replica.ActiveConfiguration()->revision());
  CHECK(reception->AddChunk(version.chunks[0].id, version.chunks[0].text));
  CHECK(this->replica.Adopt(*reception).has_value());
  LONGS_EQUAL(1, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, NeverAdoptsOlderRevision) {
  ReceiveAndAdopt(this->replica, ValidVersion(2));
  CHECK_FALSE(this->replica.Receive(ValidVersion(1).head).has_value());
  ReceiveAndAdopt(this->replica, ValidVersion(1));
  LONGS_EQUAL(2, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, AdoptsTheSameContentAtAHigherRevision) {
  const Version first = ValidVersion(1);
  ReceiveAndAdopt(this->replica, first);
  Version again = first;
  again.head.revision = 3;
  const auto reception = this->replica.Receive(again.head);
  CHECK(reception.has_value());
  CHECK(this->replica.Adopt(*reception).has_value());
  LONGS_EQUAL(3, this->replica.ActiveConfiguration()->revision());
  CHECK(*this->replica.ActiveConfiguration() ==
        ActiveOf(MakeVersion(3, this->replica.ActiveText())));
}

TEST(Replica, RejectsChunkWhoseTextDoesNotMatchItsId) {
  const Version version = ValidVersion(1);
  auto reception = this->replica.Receive(version.head);
  CHECK(reception.has_value());
  CHECK_FALSE(reception->AddChunk(version.chunks[0].id, "other text"));
  CHECK_FALSE(reception->IsComplete());
}

TEST(Replica, KeepsActiveRevisionIfTextIsInvalid) {
  ReceiveAndAdopt(this->replica, ValidVersion(1));
  ReceiveAndAdopt(this->replica, MakeVersion(2, "nonsense # asked by: R\n"));
  LONGS_EQUAL(1, this->replica.ActiveConfiguration()->revision());
  ReceiveAndAdopt(this->replica, ValidVersion(3));
  LONGS_EQUAL(3, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, AHeadWhoseChunksDoNotComeKeepsNoOtherOut) {
  ReceiveAndAdopt(this->replica, ValidVersion(1));
  auto silent = this->replica.Receive(ValidVersion(9).head);
  ReceiveAndAdopt(this->replica, ValidVersion(5));
  ReceiveAndAdopt(this->replica, ValidVersion(6));
  LONGS_EQUAL(6, this->replica.ActiveConfiguration()->revision());
  AddAllChunks(*silent, ValidVersion(9));
  CHECK(this->replica.Adopt(*silent).has_value());
  LONGS_EQUAL(9, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, AnAdoptionDropsNoChunkOfANewerVersion) {
  const Version newer = MakeVersion(9, LongText());
  auto reception = this->replica.Receive(newer.head);
  reception->AddChunk(newer.chunks[0].id, newer.chunks[0].text);
  ReceiveAndAdopt(this->replica, ValidVersion(5));
  LONGS_EQUAL(5, this->replica.ActiveConfiguration()->revision());
  for (size_t i = 1; i < newer.chunks.size(); ++i) {
    reception->AddChunk(newer.chunks[i].id, newer.chunks[i].text);
  }
  CHECK(this->replica.Adopt(*reception).has_value());
  LONGS_EQUAL(9, this->replica.ActiveConfiguration()->revision());
}

// A host on a slow link began anew with each peer that fell silent.
TEST(Replica, ABrokenOffReceptionIsContinuedFromTheNextSource) {
  const Version version = MakeVersion(9, LongText());
  auto broken_off = this->replica.Receive(version.head);
  broken_off->AddChunk(version.chunks[0].id, version.chunks[0].text);
  this->replica.Keep(*broken_off);
  ReceiveAndAdopt(this->replica, ValidVersion(5));
  this->replica.Keep(*broken_off);
  const auto next = this->replica.Receive(version.head);
  LONGS_EQUAL(version.chunks.size() - 1, next->MissingChunks().size());
}

TEST(Replica, AReceptionIsNotAdoptedOverANewerVersion) {
  auto late = this->replica.Receive(ValidVersion(5).head);
  AddAllChunks(*late, ValidVersion(5));
  ReceiveAndAdopt(this->replica, ValidVersion(9));
  CHECK_FALSE(this->replica.Adopt(*late).has_value());
  LONGS_EQUAL(9, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, ActiveRevisionNeverDecreases) {
  const bool property_holds =
      rc::check("the active revision never decreases", [] {
        Replica replica;
        uint64_t highest = 0;
        const auto offers =
            *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(1, 12));
        for (const int offer : offers) {
          const Version version = ValidVersion(static_cast<uint64_t>(offer));
          auto reception = replica.Receive(version.head);
          if (offer % 3 != 0) {
            ReceiveAndAdopt(replica, version);
          }
          if (reception.has_value()) {
            AddAllChunks(*reception, version);
            replica.Adopt(*reception);
          }
          RC_ASSERT(replica.ActiveConfiguration()->revision() >= highest);
          highest = replica.ActiveConfiguration()->revision();
        }
      });
  CHECK(property_holds);
}

}  // namespace
}  // namespace kingcupstair::config
