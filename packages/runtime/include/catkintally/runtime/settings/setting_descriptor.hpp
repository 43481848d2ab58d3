#pragma once

#include <catkintally/runtime/generated/settings.generated.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace catkintally::runtime
{

/// How the text of a setting is read.
enum class setting_type : std::uint8_t
{
    text,
    /// Text that is not printed.
    secret,
    /// IP address and port.
    address,
    /// Addresses separated by commas.
    address_list,
    integer,
    /// Decimal number without a sign or an exponent.
    decimal,
    /// One of a list of names.
    choice
};

/// Value of a setting between its text and its struct member. Choices are names.
using setting_value = std::variant<std::string, std::uint64_t, double, std::vector<std::string>>;

/// One row of the generated descriptor table.
struct setting_descriptor
{
    std::string_view section;
    std::string_view key;
    setting_type type = setting_type::text;
    std::string_view unit;
    std::uint64_t min = 0;
    std::uint64_t max = 0;
    std::string_view default_text;
    std::string_view help;
    bool required = false;
    std::span<const std::string_view> choices;
    /// Writes a checked value into its member.
    void (*assign)(settings& target, const setting_value& value) = nullptr;
    /// Reads the member.
    setting_value (*read)(const settings& source) = nullptr;
};

/// Every setting, in the order of the schema.
[[nodiscard]] std::span<const setting_descriptor> setting_descriptors();

/// Position of a checked choice in its list.
[[nodiscard]] inline std::size_t
setting_choice_index(std::string_view name, std::span<const std::string_view> choices)
{
    std::size_t index = 0;
    while (index < choices.size() && choices[index] != name)
    {
        ++index;
    }
    return index;
}

} // namespace catkintally::runtime
