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

/// An entry answered with an error, or no entry answered.
class api_failure : public error {
public:
  api_failure(error_kind Kind, std::string Reason, const std::string &Message)
      : error(Kind, Message), Reason(std::move(Reason)) {}
  /// Finer than the kind, e.g. the fold's rejection.
  const std::string &reason() const { return Reason; }

private:
  std::string Reason;
};

/// Who calls.
struct api_credentials {
  std::string Token;
  std::string Customer; ///< empty for operators
  std::string Actor;    ///< name for the audit trail
};

/// Calls to the HTTP interface of the entries. The next entry is tried when
/// one does not answer; every call that changes something names what it
/// changes, so that a repeat does it once.
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
  /// A caller's request, sent to one entry only unless nothing was written.
  /// \throws api_failure if no entry gave an answer of any kind.
  http_result request(const std::string &Method, const std::string &Target,
                      std::vector<http_header> Headers,
                      const std::string &Body);

private:
  http_result callOnce(const std::string &Entry, const std::string &Method,
                       const std::string &Target,
                       std::vector<http_header> Headers,
                       const std::string &Body);
  std::vector<http_header> ownHeaders() const;

  event_loop &Loop;
  ihttp_client &Http;
  const std::vector<std::string> Entries;
  const api_credentials Credentials;
  const duration Timeout;
};

} // namespace geraniumpaddle
