#pragma once

#include <catkintally/runtime/generated/settings.generated.hpp>

#include <boost/leaf.hpp>

#include <cstdint>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace catkintally::runtime
{

/// Why a settings file was refused.
enum class settings_fault : std::uint8_t
{
    unreadable,
    syntax,
    unknown_section,
    unknown_key,
    missing_key,
    bad_value
};

/// A refused settings file, with the place of the first fault.
struct settings_error
{
    settings_fault fault = settings_fault::unreadable;
    std::string file;
    std::string section;
    std::string key;
    /// What the key accepts, or what the parser says.
    std::string detail;

    /// One line that names file, section and key.
    [[nodiscard]] std::string message() const;
};

/// Exit status of every program whose settings or arguments are refused.
constexpr int exit_bad_settings = 2;

/// Text of an environment variable; nothing if it is not set.
using environment_hook = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads and checks an INI file. A key that it leaves out may come from the environment variable
/// CATKINTALLY_<SECTION>_<KEY>. A failure carries a settings_error.
[[nodiscard]] boost::leaf::result<settings> load_settings(const std::string& path);

/// As load_settings, from an open stream; `file` is used in messages.
[[nodiscard]] boost::leaf::result<settings>
read_settings(std::istream& in, const std::string& file, const environment_hook& environment = {});

/// Prints all settings as an INI file with help, units, ranges and defaults. Secrets are masked.
void print_settings(std::ostream& out, const settings& values);

/// Names "section.key" of the settings that differ.
[[nodiscard]] std::vector<std::string>
changed_settings(const settings& before, const settings& after);

} // namespace catkintally::runtime
