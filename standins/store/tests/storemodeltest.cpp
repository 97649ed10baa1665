#include "standins/store/storemodel.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace geraniumpaddle::standins;
using namespace std::chrono_literals;

TEST_GROUP(StoreModel) {
  store_model Model;
  time_point Now{std::chrono::hours(1)};

  static store_record record(const std::string &Key, const std::string &Value) {
    return static_cast<char>(Key.size()) + Key + Value;
  }
  append_result append(std::uint64_t Term, std::uint64_t Sequence) {
    return Model.append("t", {record("k", "v")},
                        producer_stamp{"p", Term, Sequence});
  }
};

TEST(StoreModel, KeepsTheNewestRecordOfEachKeyAfterCompaction) {
  Model.append("t", {record("a", "1"), record("b", "1"), record("a", "2")}, {});
  Model.append("t", {record("b", "")}, {});
  Model.compact();
  LONGS_EQUAL(1, Model.newest("t").size());
  STRCMP_EQUAL("2", Model.newest("t")[0].Value.c_str());
  LONGS_EQUAL(2, Model.newest("t")[0].Offset);
  CHECK(Model.read("t", 3).Answer == store_result::Truncated);
  CHECK(Model.read("t", 4).Answer == store_result::Done);
  LONGS_EQUAL(4, Model.end("t"));
}

TEST(StoreModel, AHigherTermFencesLowerTerms) {
  CHECK(append(3, 1).Answer == store_result::Done);
  Model.append("t", {}, producer_stamp{"p", 4, 0});
  CHECK(append(3, 2).Answer == store_result::Fenced);
  CHECK(append(4, 9).Answer == store_result::Done);
}

TEST(StoreModel, ADuplicateAppendReturnsTheFirstResult) {
  append(3, 1);
  const append_result First = append(3, 2);
  LONGS_EQUAL(First.Offset, append(3, 2).Offset);
  LONGS_EQUAL(2, Model.end("t"));
  const append_result Wrong = append(3, 7);
  CHECK(Wrong.Answer == store_result::OutOfSequence);
  LONGS_EQUAL(3, Wrong.Expected);
}

TEST(StoreModel, AtMostOneMemberHoldsThePartition) {
  CHECK(Model.join("a", 0, 1s, Now).IsHolder);
  CHECK(!Model.join("b", 0, 1s, Now).IsHolder);
  Now += 900ms;
  Model.join("b", 2, 1s, Now);
  Now += 200ms; // the membership of a has expired
  CHECK(Model.join("b", 2, 1s, Now).IsHolder);
  CHECK(!Model.join("a", 2, 1s, Now).IsHolder);
  Model.leave("b", Now);
  CHECK(Model.join("a", 2, 1s, Now).IsHolder);
}
