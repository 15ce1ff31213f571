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

void OfferAndTryAdopt(Replica& replica, const Version& version) {
  replica.Offer(version.head);
  for (const Chunk& chunk : version.chunks) {
    replica.AddChunk(chunk.id, chunk.text);
  }
  replica.TryAdopt();
}

Configuration ActiveOf(const Version& version) {
  Replica replica;
  OfferAndTryAdopt(replica, version);
  return *replica.ActiveConfiguration();
}

TEST_GROUP(Replica) {
  Replica replica;
};

TEST(Replica, AdoptsOnlyWithAllChunks) {
  const Version version = ValidVersion(1);
  CHECK(this->replica.Offer(version.head) == OfferResult::kPending);
  CHECK_FALSE(this->replica.TryAdopt().has_value());
  LONGS_EQUAL(0, this->replica.ActiveConfiguration()->revision());
  CHECK(this->replica.AddChunk(version.chunks[0].id, version.chunks[0].text));
  CHECK(this->replica.TryAdopt().has_value());
  LONGS_EQUAL(1, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, NeverAdoptsOlderRevision) {
  OfferAndTryAdopt(this->replica, ValidVersion(2));
  CHECK(this->replica.Offer(ValidVersion(1).head) == OfferResult::kOlder);
  OfferAndTryAdopt(this->replica, ValidVersion(1));
  LONGS_EQUAL(2, this->replica.ActiveConfiguration()->revision());
}

TEST(Replica, AdoptsTheSameContentAtAHigherRevision) {
  const Version first = ValidVersion(1);
  OfferAndTryAdopt(this->replica, first);
  Version again = first;
  again.head.revision = 3;
  CHECK(this->replica.Offer(again.head) == OfferResult::kPending);
  CHECK(this->replica.TryAdopt().has_value());
  LONGS_EQUAL(3, this->replica.ActiveConfiguration()->revision());
  CHECK(*this->replica.ActiveConfiguration() ==
        ActiveOf(MakeVersion(3, this->replica.ActiveText())));
}

TEST(Replica, RejectsChunkWhoseTextDoesNotMatchItsId) {
  const Version version = ValidVersion(1);
  this->replica.Offer(version.head);
  CHECK_FALSE(this->replica.AddChunk(version.chunks[0].id, "other text"));
}

TEST(Replica, KeepsActiveRevisionIfTextIsInvalid) {
  OfferAndTryAdopt(this->replica, ValidVersion(1));
  OfferAndTryAdopt(this->replica, MakeVersion(2, "nonsense # asked by: R\n"));
  LONGS_EQUAL(1, this->replica.ActiveConfiguration()->revision());
  OfferAndTryAdopt(this->replica, ValidVersion(3));
  LONGS_EQUAL(3, this->replica.ActiveConfiguration()->revision());
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
          replica.Offer(version.head);
          if (offer % 3 != 0) {
            OfferAndTryAdopt(replica, version);
          }
          RC_ASSERT(replica.ActiveConfiguration()->revision() >= highest);
          highest = replica.ActiveConfiguration()->revision();
        }
      });
  CHECK(property_holds);
}

}  // namespace
}  // namespace kingcupstair::config
