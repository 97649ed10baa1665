#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

enum class json_layout : std::uint8_t { Compact, Indented };
/// \p Message in protobuf's JSON mapping, with every field and its name as in
/// the .proto file. \throws internal_error if the message cannot be printed.
std::string printJson(const google::protobuf::Message &Message,
                      json_layout Layout = json_layout::Compact);

/// Reads what people write; fields that the message does not have are errors.
/// \throws malformed_message_error that tells what is wrong.
void parseJson(std::string_view Text, google::protobuf::Message &Message);

/// Reads what a program sent, maybe of a later version: fields that the
/// message does not have are passed over. \returns false if it does not decode.
bool tryParseJson(std::string_view Text, google::protobuf::Message &Message);

} // namespace geraniumpaddle
