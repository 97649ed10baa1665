#include "transport/httpclient.h"

#include "core/base/error.h"
#include "logging/logging.h"
#include "transport/internal/httpconnection.h"
#include "transport/internal/httpmethod.h"
#include "transport/timer.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace geraniumpaddle {

namespace {

struct pool;

struct open_call {
  open_call(event_loop &Loop, http_call_id Id, http_call Call,
            std::function<void(const http_result &)> Done)
      : Id(Id), Call(std::move(Call)), Done(std::move(Done)),
        TimeoutTimer(Loop) {}

  http_call_id Id;
  http_call Call;
  std::function<void(const http_result &)> Done;
  timer TimeoutTimer;
  pool *Pool = nullptr;
  http_connection *Connection = nullptr; ///< null while queued
};

struct pooled_connection {
  pooled_connection(event_loop &Loop, http_connection_id Id)
      : Id(Id), IdleTimer(Loop) {}

  http_connection_id Id;
  std::unique_ptr<http_connection> Connection;
  open_call *Call = nullptr; ///< null while idle
  timer IdleTimer;
};

/// The connections to one address and the calls that are queued for them.
struct pool {
  socket_address Address;
  std::vector<std::unique_ptr<pooled_connection>> Connections;
  std::deque<http_call_id> Queue;
};

struct changed_connection {
  pool *Pool;
  const http_connection *Connection;
};

bool mayReuseConnection(const http_call &Call) {
  switch (Call.Reuse) {
  case connection_reuse::Always:
    return true;
  case connection_reuse::Never:
    return false;
  case connection_reuse::ByMethod:
    return findMethod(Call.Method)->Idempotent;
  }
  return false;
}

} // namespace

class http_client::impl {
public:
  impl(event_loop &Loop, const http_client_limits &Limits,
       traffic_counter &Traffic);

  http_call_id send(http_call Call,
                    std::function<void(const http_result &)> Done);
  void cancel(http_call_id Id);

private:
  pool &poolFor(const socket_address &Address);
  void dispatch(pool &Pool);
  pooled_connection *acquireConnection(pool &Pool, bool Reuse);
  pooled_connection *acquireConnection(pool &Pool, http_connection_id Id);
  pooled_connection *openConnection(pool &Pool);
  void startCall(pooled_connection &Connection, open_call &Call);
  void timeOut(open_call &Call);
  void finishUnsent(open_call &Call);
  void finish(open_call &Call, const http_result &Result);
  void closeConnection(pool &Pool, const http_connection &Connection);
  void closeUnusable(pool &Pool);
  void changed(pool &Pool, const http_connection &Connection);
  void processChanged();
  void process(pool &Pool, pooled_connection &Connection);
  /// \returns false if the connection cannot be used again.
  bool returnToPool(pool &Pool, pooled_connection &Connection);

  event_loop &Loop;
  http_client_limits Limits;
  traffic_counter &Traffic;
  std::uint64_t LastCall = 0;
  std::uint64_t LastConnection = 0;
  std::map<std::string, pool> Pools;
  std::unordered_map<http_call_id, std::unique_ptr<open_call>> Calls;
  std::deque<changed_connection> Changed;
  event_ptr ProcessEvent;
  logger Log{"http_client"};
};

http_client::impl::impl(event_loop &Loop, const http_client_limits &Limits,
                        traffic_counter &Traffic)
    : Loop(Loop), Limits(Limits), Traffic(Traffic),
      ProcessEvent(event_new(
          Loop.base(), -1, 0,
          [](int, short, void *Self) {
            auto *Client = static_cast<impl *>(Self);
            Client->Loop.invoke([Client] { Client->processChanged(); });
          },
          this)) {
  if (!ProcessEvent) {
    throw unavailable_error("cannot create the event of the HTTP client");
  }
}

pool &http_client::impl::poolFor(const socket_address &Address) {
  auto &Pool = Pools[Address.str()];
  Pool.Address = Address;
  return Pool;
}

http_call_id
http_client::impl::send(http_call Call,
                        std::function<void(const http_result &)> Done) {
  const auto Address = findAddress(Call.Address);
  if (!findMethod(Call.Method)) {
    throw invalid_argument_error("unknown HTTP method \"" + Call.Method + "\"");
  }
  const http_call_id Id{++LastCall};
  auto Owned =
      std::make_unique<open_call>(Loop, Id, std::move(Call), std::move(Done));
  open_call &Open = *Owned;
  Calls.emplace(Id, std::move(Owned));
  if (!Address) {
    Log.warningEvent("address_unusable", {{"address", Open.Call.Address}});
    finishUnsent(Open);
    return Id;
  }
  Open.Pool = &poolFor(*Address);
  if (Open.Call.Connection) {
    auto *Connection = acquireConnection(*Open.Pool, *Open.Call.Connection);
    if (Connection == nullptr) {
      finishUnsent(Open);
      return Id;
    }
    Open.TimeoutTimer.start(Open.Call.Timeout,
                            [this, &Open] { timeOut(Open); });
    startCall(*Connection, Open);
    return Id;
  }
  if (Open.Pool->Queue.size() >= Limits.MaxQueuedPerAddress) {
    finishUnsent(Open);
    return Id;
  }
  Open.TimeoutTimer.start(Open.Call.Timeout, [this, &Open] { timeOut(Open); });
  Open.Pool->Queue.push_back(Id);
  dispatch(*Open.Pool);
  return Id;
}

void http_client::impl::dispatch(pool &Pool) {
  while (!Pool.Queue.empty()) {
    const auto Found = Calls.find(Pool.Queue.front());
    if (Found != Calls.end()) {
      open_call &Call = *Found->second;
      auto *Connection = acquireConnection(Pool, mayReuseConnection(Call.Call));
      if (Connection == nullptr) {
        return;
      }
      startCall(*Connection, Call);
    }
    Pool.Queue.pop_front();
  }
}

void http_client::impl::closeUnusable(pool &Pool) {
  std::vector<const http_connection *> Closed;
  for (const auto &Each : Pool.Connections) {
    if (Each->Call == nullptr && !Each->Connection->usable()) {
      Closed.push_back(Each->Connection.get());
    }
  }
  for (const auto *Connection : Closed) {
    closeConnection(Pool, *Connection);
  }
}

pooled_connection *http_client::impl::acquireConnection(pool &Pool,
                                                        bool Reuse) {
  closeUnusable(Pool);
  auto &Connections = Pool.Connections;
  const auto Idle =
      std::find_if(Connections.begin(), Connections.end(),
                   [](const auto &Each) { return Each->Call == nullptr; });
  if (Reuse && Idle != Connections.end()) {
    (*Idle)->IdleTimer.cancel();
    return Idle->get();
  }
  if (Connections.size() < Limits.MaxConnectionsPerAddress) {
    return openConnection(Pool);
  }
  if (Idle != Connections.end()) {
    closeConnection(Pool, *(*Idle)->Connection);
    return openConnection(Pool);
  }
  return nullptr;
}

pooled_connection *http_client::impl::acquireConnection(pool &Pool,
                                                        http_connection_id Id) {
  closeUnusable(Pool);
  const auto Found =
      std::find_if(Pool.Connections.begin(), Pool.Connections.end(),
                   [Id](const auto &Each) { return Each->Id == Id; });
  if (Found == Pool.Connections.end() || (*Found)->Call != nullptr) {
    return nullptr;
  }
  (*Found)->IdleTimer.cancel();
  return Found->get();
}

pooled_connection *http_client::impl::openConnection(pool &Pool) {
  auto Owned = std::make_unique<pooled_connection>(
      Loop, http_connection_id{++LastConnection});
  Owned->Connection = std::make_unique<http_connection>(
      Loop, Pool.Address, Limits,
      [this, &Pool](const http_connection &Each) { changed(Pool, Each); });
  Pool.Connections.push_back(std::move(Owned));
  return Pool.Connections.back().get();
}

void http_client::impl::startCall(pooled_connection &Connection,
                                  open_call &Call) {
  Connection.Call = &Call;
  Call.Connection = Connection.Connection.get();
  Connection.Connection->start(Call.Call);
}

void http_client::impl::timeOut(open_call &Call) {
  http_result Result;
  pool &Pool = *Call.Pool;
  if (Call.Connection != nullptr) {
    http_connection &Connection = *Call.Connection;
    Result = Connection.finished() ? Connection.result() : Result;
    if (!Connection.finished() && !Connection.nothingWritten()) {
      Result.Status = call_status::TimedOut;
    }
  }
  finish(Call, Result);
  dispatch(Pool);
}

/// The callback must not run before send() has returned.
void http_client::impl::finishUnsent(open_call &Call) {
  Call.TimeoutTimer.start(duration::zero(),
                          [this, &Call] { finish(Call, {}); });
}

void http_client::impl::finish(open_call &Call, const http_result &Result) {
  if (const auto *Connection = Call.Connection) {
    Traffic.add(Call.Call.Address, Call.Call.Cause, Connection->bytesIn(),
                Connection->bytesOut());
    closeConnection(*Call.Pool, *Connection);
  }
  const auto Owned = std::move(Calls.extract(Call.Id).mapped());
  Owned->TimeoutTimer.cancel();
  Owned->Done(Result);
}

void http_client::impl::cancel(http_call_id Id) {
  const auto Node = Calls.extract(Id);
  if (!Node.empty() && Node.mapped()->Connection != nullptr) {
    pool &Pool = *Node.mapped()->Pool;
    closeConnection(Pool, *Node.mapped()->Connection);
    dispatch(Pool);
  }
}

void http_client::impl::closeConnection(pool &Pool,
                                        const http_connection &Connection) {
  std::erase_if(Changed, [&](const changed_connection &Each) {
    return Each.Connection == &Connection;
  });
  std::erase_if(Pool.Connections, [&](const auto &Each) {
    return Each->Connection.get() == &Connection;
  });
}

// Called by evhttp, which is still using the connection, so it is processed
// from an event of its own.
void http_client::impl::changed(pool &Pool, const http_connection &Connection) {
  Changed.push_back({&Pool, &Connection});
  event_active(ProcessEvent.get(), EV_TIMEOUT, 1);
}

void http_client::impl::processChanged() {
  while (!Changed.empty()) {
    const changed_connection Next = Changed.front();
    Changed.pop_front();
    const auto &Connections = Next.Pool->Connections;
    const auto Found = std::find_if(
        Connections.begin(), Connections.end(), [&](const auto &Each) {
          return Each->Connection.get() == Next.Connection;
        });
    process(*Next.Pool, **Found);
  }
}

void http_client::impl::process(pool &Pool, pooled_connection &Connection) {
  open_call *Call = std::exchange(Connection.Call, nullptr);
  if (Call == nullptr) {
    closeConnection(Pool, *Connection.Connection);
    return;
  }
  auto Result = std::move(Connection.Connection->result());
  Traffic.add(Call->Call.Address, Call->Call.Cause,
              Connection.Connection->bytesIn(),
              Connection.Connection->bytesOut());
  Call->Connection = nullptr;
  const http_connection_id Id = Connection.Id;
  if (returnToPool(Pool, Connection)) {
    Result.Connection = Id;
  }
  finish(*Call, Result);
  dispatch(Pool);
}

bool http_client::impl::returnToPool(pool &Pool,
                                     pooled_connection &Connection) {
  const http_connection &Raw = *Connection.Connection;
  if (!Raw.usable()) {
    closeConnection(Pool, Raw);
    return false;
  }
  Connection.IdleTimer.start(
      Limits.IdleTimeout, [this, &Pool, &Raw] { closeConnection(Pool, Raw); });
  return true;
}

http_client::http_client(event_loop &Loop, const http_client_limits &Limits,
                         traffic_counter &Traffic)
    : Impl(std::make_unique<impl>(Loop, Limits, Traffic)) {}

http_client::~http_client() = default;

http_call_id http_client::send(http_call Call,
                               std::function<void(const http_result &)> Done) {
  return Impl->send(std::move(Call), std::move(Done));
}

void http_client::cancel(http_call_id Call) { Impl->cancel(Call); }

} // namespace geraniumpaddle
