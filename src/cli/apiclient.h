#pragma once

#include "core/base/error.h"
#include "transport/eventloop.h"
#include "transport/ihttpclient.h"

#include <google/protobuf/message.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumpaddle {

/// An entry responded with an error, or no entry responded.
class api_failure : public error {
public:
  api_failure(error_kind Kind, std::string Reason, const std::string &Message)
      : error(Kind, Message), Reason(std::move(Reason)) {}
  /// More specific than the kind, for example why the ledger rejected a change.
  const std::string &reason() const { return Reason; }

private:
  std::string Reason;
};

/// Identity of the caller, sent with every request.
struct api_credentials {
  std::string Token;
  std::string Customer; ///< empty for operators
  std::string Actor;    ///< name for the audit trail
};

/// Client of the HTTP interface of the entries. If an entry does not respond,
/// it tries the next one. This is safe for changes too: each of them names what
/// it changes, so that a duplicate has no further effect.
class api_client {
public:
  /// \param Entries ip:port, in the order in which they are tried.
  api_client(event_loop &Loop, ihttp_client &Http,
             std::vector<std::string> Entries, api_credentials Credentials,
             duration Timeout);

  /// \throws api_failure
  void get(const std::string &Target, google::protobuf::Message &Out);
  /// \throws api_failure
  void send(const std::string &Method, const std::string &Target,
            const google::protobuf::Message *Body,
            google::protobuf::Message &Out);
  /// Sends a caller's request to a service. Tries the next entry only if
  /// nothing was sent to the previous one.
  /// \throws api_failure if no entry responded.
  http_result request(const std::string &Method, const std::string &Target,
                      std::vector<http_header> Headers,
                      const std::string &Body);

private:
  http_result callOnce(const std::string &Entry, const std::string &Method,
                       const std::string &Target,
                       std::vector<http_header> Headers,
                       const std::string &Body);
  std::vector<http_header> credentialHeaders() const;

  event_loop &Loop;
  ihttp_client &Http;
  const std::vector<std::string> Entries;
  const api_credentials Credentials;
  const duration Timeout;
};

} // namespace geraniumpaddle
