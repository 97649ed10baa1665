#pragma once

#include <array>
#include <cstddef>
#include <tuple>
#include <utility>
#include <variant>

namespace geraniumpaddle {

/// Dispatch table of member functions, one per alternative of a variant, in the
/// order of the alternatives. `member_table<&c::onA, &c::onB>::dispatch(Target,
/// Message, Now)` calls the member function for the alternative that Message
/// holds.
template <auto... Members> class member_table {
public:
  template <typename Owner, typename... Alternatives, typename... Rest>
  static decltype(auto) dispatch(Owner &Target,
                                 const std::variant<Alternatives...> &Message,
                                 const Rest &...Arguments) {
    static_assert(sizeof...(Members) == sizeof...(Alternatives),
                  "one member function per alternative");
    using variant_type = std::variant<Alternatives...>;
    using result_type = decltype(invoke<0, Owner, variant_type, Rest...>(
        Target, Message, Arguments...));
    using thunk =
        result_type (*)(Owner &, const variant_type &, const Rest &...);
    static constexpr auto Table =
        []<std::size_t... Index>(std::index_sequence<Index...>) {
      return std::array<thunk, sizeof...(Index)>{
          &invoke<Index, Owner, variant_type, Rest...>...};
    }
    (std::index_sequence_for<Alternatives...>{});
    return Table[Message.index()](Target, Message, Arguments...);
  }

private:
  template <std::size_t Index, typename Owner, typename Variant,
            typename... Rest>
  static decltype(auto) invoke(Owner &Target, const Variant &Message,
                               const Rest &...Arguments) {
    constexpr auto Member = std::get<Index>(std::tuple{Members...});
    return (Target.*Member)(*std::get_if<Index>(&Message), Arguments...);
  }
};

} // namespace geraniumpaddle
