#include "core/work/queuedirectory.h"

#include <utility>

namespace geraniumpaddle::work {

bool queue_directory::replace(configuration Next) {
  if (Next.Version <= Current.Version)
    return false;
  Current = std::move(Next);
  ByHost.clear();
  ByQueue.clear();
  CustomerByKey.clear();
  ByCustomer.clear();
  for (std::size_t I = 0; I < Current.Routes.size(); ++I) {
    ByHost.emplace(Current.Routes[I].Host, I);
    ByQueue.emplace(Current.Routes[I].Policy.Queue, I);
  }
  for (std::size_t I = 0; I < Current.Customers.size(); ++I) {
    ByCustomer.emplace(Current.Customers[I].Name, I);
    for (const std::string &Key : Current.Customers[I].Keys)
      CustomerByKey.emplace(Key, I);
  }
  return true;
}

const queue_route *queue_directory::findRoute(std::string_view Host,
                                              std::string_view Path) const {
  const queue_route *Best = nullptr;
  const auto [First, Last] = ByHost.equal_range(std::string(Host));
  for (auto It = First; It != Last; ++It) {
    const queue_route &Route = Current.Routes[It->second];
    const bool Longer =
        !Best || Route.PathPrefix.size() > Best->PathPrefix.size();
    if (Longer && Path.starts_with(Route.PathPrefix))
      Best = &Route;
  }
  return Best;
}

resolved_call queue_directory::resolve(std::string_view Host,
                                       std::string_view Path,
                                       std::string_view Key) const {
  if (Current.Version == 0)
    return {};
  const queue_route *Route = findRoute(Host, Path);
  if (!Route)
    return {.Verdict = call_verdict::NoQueue};
  resolved_call Call{.Verdict = call_verdict::Allowed,
                     .Route = Route,
                     .SubPath = Path.substr(Route->PathPrefix.size())};
  const auto Owner = CustomerByKey.find(std::string(Key));
  if (Owner != CustomerByKey.end())
    Call.Customer = Current.Customers[Owner->second].Name;
  else if (!Route->Anonymous)
    return {.Verdict = call_verdict::UnknownKey};
  return Call;
}

const queue_policy *queue_directory::policy(std::string_view Queue) const {
  const auto Found = ByQueue.find(std::string(Queue));
  return Found == ByQueue.end() ? nullptr
                                : &Current.Routes[Found->second].Policy;
}

std::int32_t
queue_directory::guaranteedAccelerators(const customer_id &Customer) const {
  const auto Found = ByCustomer.find(Customer);
  return Found == ByCustomer.end()
             ? 0
             : Current.Customers[Found->second].GuaranteedAccelerators;
}

} // namespace geraniumpaddle::work
