#include "platform/internal/storeframes.h"

#include <CppUTest/TestHarness.h>

using namespace geraniumpaddle;
using namespace std::string_literals;

TEST_GROUP(StoreFrames){static std::string readHeader(char End){
    return std::string(7, '\0') + End + std::string(8, '\0');
}
}
;

TEST(StoreFrames, EncodesLengthKeyAndValue) {
  const std::vector<keyed_value> Records{{"ab", "xyz"}, {"c", ""}};
  const std::string Expected = "\0\0\0\6\2abxyz\0\0\0\2\1c"s;
  CHECK(encodeFrames(Records) == Expected);
}

TEST(StoreFrames, DecodesWhatWasEncoded) {
  const std::vector<keyed_value> Records{{"ab", "xyz"}, {"c", ""}};
  const auto Batch = decodeFrames(readHeader(9) + encodeFrames(Records), 7);
  CHECK(Batch.has_value());
  LONGS_EQUAL(9, Batch->End);
  LONGS_EQUAL(2, Batch->Records.size());
  STRCMP_EQUAL("ab", Batch->Records[0].Key.c_str());
  STRCMP_EQUAL("xyz", Batch->Records[0].Value.c_str());
  LONGS_EQUAL(7, Batch->Records[0].Offset);
  CHECK(Batch->Records[1].Deleted);
  LONGS_EQUAL(8, Batch->Records[1].Offset);
}

TEST(StoreFrames, RejectsTruncatedAnswers) {
  const std::string Whole =
      readHeader(9) + encodeFrames(std::vector<keyed_value>{{"ab", "xyz"}});
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    if (Size != readHeader(9).size())
      CHECK(!decodeFrames(std::string_view(Whole).substr(0, Size), 0));
}

TEST(StoreFrames, SkipsARecordWithoutAValidKeyButCountsItsOffset) {
  const std::string Bytes =
      readHeader(3) + "\0\0\0\2\x20z"s + "\0\0\0\0"s + "\0\0\0\3\1kv"s;
  const auto Batch = decodeFrames(Bytes, 0);
  LONGS_EQUAL(1, Batch->Records.size());
  LONGS_EQUAL(2, Batch->Records[0].Offset);
}

TEST(StoreFrames, DecodesBase64) {
  STRCMP_EQUAL("hello", decodeBase64("aGVsbG8=")->c_str());
  STRCMP_EQUAL("hell", decodeBase64("aGVsbA==")->c_str());
  STRCMP_EQUAL("", decodeBase64("")->c_str());
  CHECK(!decodeBase64("abc"));
  CHECK(!decodeBase64("a*=="));
}
