#pragma once

#include <catkintally/core/time/timer_service.hpp>
#include <catkintally/runtime/generated/settings.generated.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace catkintally::entry
{

/// Fixed inputs of a settings_reload.
struct settings_reload_options
{
    core::timer_service* timers = nullptr;
    std::string path;
    /// The settings that the process started with.
    runtime::settings current;
    /// Uses new values; returns the names "section.key" of those that took effect.
    std::function<std::vector<std::string>(const runtime::settings&)> apply;
};

/// Reads the settings file again when it changes, on a signal or without one. A file that cannot be
/// used leaves the settings as they are.
class settings_reload
{
public:
    explicit settings_reload(settings_reload_options options);
    ~settings_reload();
    settings_reload(const settings_reload&) = delete;
    settings_reload& operator=(const settings_reload&) = delete;

    /// Reads the file now.
    void reload();

private:
    void check();
    [[nodiscard]] std::int64_t modified() const;

    settings_reload_options options_;
    std::int64_t seen_ = 0;
    core::timer_id timer_ = 0;
};

} // namespace catkintally::entry
