#include "components/store/records_view.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/support/times.h"

namespace kingcupstair::store {
namespace {

TEST_GROUP(RecordsView) {
  /// The version of the content is the number in the record "config".
  RecordsView view{
      {.content_version = [](const std::vector<KeyedEntry>& records) {
        for (const KeyedEntry& record : records) {
          if (record.key == "config") {
            return std::stoull(record.entry.value);
          }
        }
        return 0ULL;
      }}};

  void List() {
    this->view.OnListing(
        {.entries = {{.key = "a", .entry = {.value = "1", .version = 3}}},
         .revision = 5},
        At(0));
  }

  std::string ValueOf(const std::string& key) {
    for (const KeyedEntry& record : this->view.All()) {
      if (record.key == key) {
        return record.entry.value;
      }
    }
    return "absent";
  }

  /// Lists a configuration of version 8 and a zone out of service in era 1, and
  /// then a copy from before both in era 2.
  void Restore() {
    this->view.OnListing(
        {.entries = {{.key = "config", .entry = {.value = "8", .version = 8}},
                     {.key = "out/z", .entry = {.value = "", .version = 9}}},
         .revision = 9,
         .era = 1},
        At(0));
    this->view.OnListing(
        {.entries = {{.key = "config", .entry = {.value = "7", .version = 5}}},
         .revision = 6,
         .era = 2},
        At(1'000));
  }
};

TEST(RecordsView, ListsFirstThenWatches) {
  CHECK_FALSE(this->view.WatchFrom().has_value());
  this->List();
  CHECK_EQUAL(5U, *this->view.WatchFrom());
}

// Guards against a watch that is sent to a store right after the store cut
// another watch. The store accepted the call without responding and came back,
// but the watch still blocked until its timeout. A configuration written
// meanwhile was not active for six seconds.
TEST(RecordsView, ListsAfterFailureInsteadOfWatching) {
  this->List();
  this->view.Invalidate();
  CHECK_FALSE(this->view.WatchFrom().has_value());
  CHECK_EQUAL(1U, this->view.All().size());
  this->List();
  CHECK_EQUAL(5U, *this->view.WatchFrom());
}

TEST(RecordsView, ListsAfterStoreLostHistory) {
  this->List();
  CHECK_FALSE(this->view.OnChanges({.history_lost = true}));
  CHECK_FALSE(this->view.WatchFrom().has_value());
}

TEST(RecordsView, AppliesChangesAndWatchesFromTheirRevision) {
  this->List();
  CHECK(this->view.OnChanges(
      {.entries = {{.key = "a"},
                   {.key = "b", .entry = {.value = "2", .version = 7}}},
       .revision = 7}));
  CHECK_EQUAL(1U, this->view.All().size());
  STRCMP_EQUAL("b", this->view.All().front().key.c_str());
  CHECK_EQUAL(7U, *this->view.WatchFrom());
  CHECK_FALSE(this->view.OnChanges({.revision = 9}));
  CHECK_EQUAL(9U, *this->view.WatchFrom());
}

// Hosts that watch the same changes name the same revision, whatever else is
// written to the store meanwhile.
TEST(RecordsView, TheContentHasTheRevisionOfItsLastChange) {
  this->List();
  CHECK_EQUAL(5U, this->view.content_revision());
  this->view.OnChanges({.revision = 9});
  CHECK_EQUAL(5U, this->view.content_revision());
  this->view.OnChanges(
      {.entries = {{.key = "b", .entry = {.value = "2", .version = 11}}},
       .revision = 14});
  CHECK_EQUAL(11U, this->view.content_revision());
  this->view.OnChanges({.entries = {{.key = "b"}}, .revision = 16});
  CHECK_EQUAL(16U, this->view.content_revision());
}

TEST(RecordsView, AListingWithoutAChangeKeepsTheRevisionOfTheContent) {
  this->List();
  this->view.Invalidate();
  this->view.OnListing(
      {.entries = {{.key = "a", .entry = {.value = "1", .version = 3}}},
       .revision = 8},
      At(1'000));
  CHECK_EQUAL(5U, this->view.content_revision());
  CHECK_EQUAL(8U, *this->view.WatchFrom());
  this->view.OnListing({.revision = 9}, At(2'000));
  CHECK_EQUAL(9U, this->view.content_revision());
}

TEST(RecordsView, ARestoredCopyThatIsOlderDoesNotReplaceWhatIsInForce) {
  this->Restore();
  STRCMP_EQUAL("8", this->ValueOf("config").c_str());
  STRCMP_EQUAL("", this->ValueOf("out/z").c_str());
  CHECK_EQUAL(6U, *this->view.WatchFrom());
}

TEST(RecordsView, RecordsThatAreWrittenAgainAreInForce) {
  this->Restore();
  CHECK(this->view.OnChanges(
      {.entries = {{.key = "config", .entry = {.value = "9", .version = 7}}},
       .revision = 7,
       .era = 2}));
  STRCMP_EQUAL("9", this->ValueOf("config").c_str());
  STRCMP_EQUAL("", this->ValueOf("out/z").c_str());
  CHECK(this->view.OnChanges(
      {.entries = {{.key = "out/z"}}, .revision = 8, .era = 2}));
  STRCMP_EQUAL("absent", this->ValueOf("out/z").c_str());
}

// A watch that outlasted the time for writing again kept former records in
// force.
TEST(RecordsView, AWatchEndsWhenFormerRecordsAreDropped) {
  this->List();
  CHECK(this->view.WatchTime(Millis(30'000), At(0)) == Millis(30'000));
  this->Restore();
  CHECK(this->view.WatchTime(Millis(30'000), At(1'000)) == Millis(10'000));
  CHECK(this->view.WatchTime(Millis(30'000), At(12'000)) == Millis(1));
}

TEST(RecordsView, WhatNobodyWritesAgainIsDroppedInTime) {
  this->Restore();
  CHECK_FALSE(this->view.DropFormerRecords(At(10'000)));
  CHECK(this->view.DropFormerRecords(At(12'000)));
  CHECK_FALSE(this->view.DropFormerRecords(At(13'000)));
  STRCMP_EQUAL("absent", this->ValueOf("out/z").c_str());
}

// The store was restored while a watch waited. Its revisions are given out
// again, so the watch would go on from one that means something else.
TEST(RecordsView, ChangesOfAnotherEraRequireAListing) {
  this->Restore();
  CHECK_FALSE(this->view.OnChanges(
      {.entries = {{.key = "a", .entry = {.value = "2", .version = 20}}},
       .revision = 20,
       .era = 3}));
  CHECK_FALSE(this->view.WatchFrom().has_value());
  STRCMP_EQUAL("absent", this->ValueOf("a").c_str());
}

}  // namespace
}  // namespace kingcupstair::store
