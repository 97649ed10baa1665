#include "codec/protojson.h"

#include "core/base/error.h"

#include <google/protobuf/util/json_util.h>

namespace geraniumpaddle {

std::string printJson(const google::protobuf::Message &Message,
                      json_layout Layout) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.add_whitespace = Layout == json_layout::Indented;
  Options.always_print_primitive_fields = true;
  Options.preserve_proto_field_names = true;
  std::string Text;
  auto Status =
      google::protobuf::util::MessageToJsonString(Message, &Text, Options);
  if (!Status.ok())
    throw internal_error("cannot convert a message to JSON");
  return Text;
}

void parseJson(std::string_view Text, google::protobuf::Message &Message) {
  auto Status = google::protobuf::util::JsonStringToMessage(
      google::protobuf::StringPiece(Text.data(), Text.size()), &Message);
  if (!Status.ok())
    throw malformed_message_error(std::string(Status.message()));
}

bool tryParseJson(std::string_view Text, google::protobuf::Message &Message) {
  google::protobuf::util::JsonParseOptions Options;
  Options.ignore_unknown_fields = true;
  return google::protobuf::util::JsonStringToMessage(
             google::protobuf::StringPiece(Text.data(), Text.size()), &Message,
             Options)
      .ok();
}

} // namespace geraniumpaddle
