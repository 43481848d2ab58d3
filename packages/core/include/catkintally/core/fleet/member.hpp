#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace catkintally::core
{

/// Identity of one run of an instance. A restarted process has another incarnation and therefore
/// counts as another member.
struct member_id
{
    std::string instance;
    std::uint64_t incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding in the generated comparison.
    auto operator<=>(const member_id&) const = default;
};

/// Text form "INSTANCE#INCARNATION" for records, decisions and log fields.
[[nodiscard]] inline std::string to_text(const member_id& id)
{
    return id.instance + '#' + std::to_string(id.incarnation);
}

/// Instance name of the text form.
[[nodiscard]] inline std::string_view instance_of(std::string_view text)
{
    return text.substr(0, text.rfind('#'));
}

/// One entry of the view.
struct member
{
    member_id id;
    std::string failure_domain;
    /// IP address and port on which other members reach it.
    std::string peer_address;
    /// A leaving member owns nothing and witnesses nothing.
    bool leaving = false;

    bool operator==(const member&) const = default;
};

} // namespace catkintally::core
