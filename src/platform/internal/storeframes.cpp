#include "platform/internal/storeframes.h"

#include <openssl/evp.h>

#include <algorithm>

namespace geraniumpaddle {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;
constexpr unsigned BitsPerByte = 8;

std::uint64_t bigEndian(std::string_view Bytes) {
  std::uint64_t Value = 0;
  for (const char Each : Bytes)
    Value = Value << BitsPerByte | static_cast<unsigned char>(Each);
  return Value;
}

void appendLength(std::string &Out, std::size_t Length) {
  for (std::size_t I = LengthBytes; I-- > 0;)
    Out += static_cast<char>(Length >> (BitsPerByte * I));
}

/// Decodes one record; nothing if it is shorter than its key length says.
std::optional<keyed_record> decodeRecord(std::string_view Content,
                                         std::uint64_t Offset) {
  if (Content.empty())
    return std::nullopt;
  const auto KeySize = static_cast<unsigned char>(Content.front());
  Content.remove_prefix(1);
  if (Content.size() < KeySize)
    return std::nullopt;
  keyed_record Record{.Key = std::string(Content.substr(0, KeySize)),
                      .Value = std::string(Content.substr(KeySize)),
                      .Offset = Offset};
  Record.Deleted = Record.Value.empty();
  return Record;
}

} // namespace

std::string encodeFrames(std::span<const keyed_value> Records) {
  std::string Out;
  for (const keyed_value &Record : Records) {
    appendLength(Out, 1 + Record.Key.size() + Record.Value.size());
    Out += static_cast<char>(Record.Key.size());
    Out += Record.Key;
    Out += Record.Value;
  }
  return Out;
}

std::optional<topic_batch> decodeFrames(std::string_view Bytes,
                                        std::uint64_t From) {
  if (Bytes.size() < 2 * OffsetBytes)
    return std::nullopt;
  topic_batch Batch{.From = From,
                    .End = bigEndian(Bytes.substr(0, OffsetBytes))};
  Bytes.remove_prefix(2 * OffsetBytes);
  std::uint64_t Offset = From;
  while (!Bytes.empty()) {
    if (Bytes.size() < LengthBytes)
      return std::nullopt;
    const std::uint64_t Size = bigEndian(Bytes.substr(0, LengthBytes));
    Bytes.remove_prefix(LengthBytes);
    if (Bytes.size() < Size)
      return std::nullopt;
    auto Record = decodeRecord(Bytes.substr(0, Size), Offset);
    if (Record)
      Batch.Records.push_back(std::move(*Record));
    Bytes.remove_prefix(Size);
    ++Offset;
  }
  Batch.Next = Offset;
  return Batch;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  constexpr std::size_t GroupChars = 4;
  constexpr std::size_t GroupBytes = 3;
  if (Text.size() % GroupChars != 0)
    return std::nullopt;
  std::string Out(Text.size() / GroupChars * GroupBytes, '\0');
  const int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  const std::string_view Tail =
      Text.substr(Text.size() - std::min<std::size_t>(2, Text.size()));
  const auto Padding = std::count(Tail.begin(), Tail.end(), '=');
  Out.resize(static_cast<std::size_t>(Size - Padding));
  return Out;
}

} // namespace geraniumpaddle
