#include "codec/imagecodec.h"
#include "core/base/error.h"
#include "core/ledger/tests/randomlog.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;

namespace {

/// Applies random records and one malformed record to \p Ledger.
void applyRandomLog(ledger &Ledger) {
  constexpr int MaxRecords = 300;
  auto Seeds =
      *rc::gen::resize(MaxRecords, rc::gen::container<std::vector<record_seed>>(
                                       rc::gen::arbitrary<record_seed>()));
  random_log Log(Ledger);
  for (const record_seed &Seed : Seeds)
    Ledger.apply(next(Ledger.lastApplied()), Log.make(Seed));
  Ledger.skip(next(Ledger.lastApplied()), "body: missing");
}

} // namespace

TEST_GROUP(ImageCodec){};

TEST(ImageCodec, EveryImageRoundTrips) {
  bool Passed = rc::check([] {
    ledger Ledger;
    applyRandomLog(Ledger);
    ledger_image Image = Ledger.image();
    ledger_image Decoded = decodeImage(encodeImage(Image));
    RC_ASSERT(Decoded == Image);
    RC_ASSERT(ledger(Decoded).image() == Image);
  });
  CHECK(Passed);
}

TEST(ImageCodec, CorruptedImagesAreDecodedOrRejected) {
  bool Passed = rc::check([] {
    ledger Ledger;
    applyRandomLog(Ledger);
    std::string Bytes = encodeImage(Ledger.image());
    auto Index = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    Bytes[Index] = *rc::gen::arbitrary<char>();
    try {
      ledger Restored(decodeImage(Bytes));
    } catch (const error &) {
      // Any other exception fails the property.
    }
  });
  CHECK(Passed);
}

TEST(ImageCodec, ErrorNamesTheInvalidField) {
  ledger_image Image;
  Image.Producers.push_back({node_id("e1"),
                             incarnation{1},
                             0,
                             log_offset{1},
                             {{1, log_offset{1}, {rejection(99)}}}});
  try {
    decodeImage(encodeImage(Image));
    FAIL("accepted");
  } catch (const malformed_message_error &Failure) {
    STRCMP_EQUAL("producers[0].reason: unknown value", Failure.what());
  }
}
