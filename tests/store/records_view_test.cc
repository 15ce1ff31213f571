#include "components/store/records_view.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::store {
namespace {

TEST_GROUP(RecordsView) {
  RecordsView view;

  void List() {
    this->view.OnListing(
        {.entries = {{.key = "a", .entry = {.value = "1", .version = 3}}},
         .revision = 5});
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

}  // namespace
}  // namespace kingcupstair::store
