#pragma once

#include <google/protobuf/message.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumpaddle {

enum class json_layout : std::uint8_t { Compact, Indented };
/// \p Message in protobuf's JSON mapping, including default values, with the
/// field names of the .proto file.
/// \throws internal_error if the message cannot be printed.
std::string printJson(const google::protobuf::Message &Message,
                      json_layout Layout = json_layout::Compact);

/// Parses JSON written by people; an unknown field is an error.
/// \throws malformed_message_error that describes the error.
void parseJson(std::string_view Text, google::protobuf::Message &Message);

/// Parses JSON sent by another program, which may be of a later version;
/// unknown fields are ignored. \returns false if \p Text is malformed.
bool tryParseJson(std::string_view Text, google::protobuf::Message &Message);

} // namespace geraniumpaddle
