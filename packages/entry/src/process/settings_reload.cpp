#include <catkintally/entry/process/settings_reload.hpp>
#include <catkintally/runtime/log/event_log.hpp>
#include <catkintally/runtime/settings/settings_loader.hpp>

#include <boost/leaf.hpp>

#include <algorithm>
#include <cassert>
#include <exception>
#include <utility>

#include <sys/stat.h>

namespace catkintally::entry
{

namespace
{

/// A change without a signal is seen within this time.
constexpr auto check_interval = std::chrono::seconds(5);

std::string joined(const std::vector<std::string>& names)
{
    std::string out;
    for (const std::string& name : names)
    {
        out += (out.empty() ? "" : ",") + name;
    }
    return out;
}

} // namespace

settings_reload::settings_reload(settings_reload_options options)
    : options_(std::move(options))
    , seen_(modified())
{
    assert(options_.timers != nullptr && options_.apply);
    timer_ = options_.timers->schedule_after(check_interval, [this] { check(); });
}

settings_reload::~settings_reload()
{
    options_.timers->cancel(timer_);
}

std::int64_t settings_reload::modified() const
{
    struct stat status
    {
    };
    if (stat(options_.path.c_str(), &status) != 0)
    {
        return 0;
    }
    constexpr std::int64_t nanoseconds = 1'000'000'000;
    return status.st_mtim.tv_sec * nanoseconds + status.st_mtim.tv_nsec;
}

void settings_reload::check()
{
    timer_ = options_.timers->schedule_after(check_interval, [this] { check(); });
    if (modified() != seen_)
    {
        reload();
    }
}

void settings_reload::reload()
{
    namespace leaf = boost::leaf;
    seen_ = modified();
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(values, runtime::load_settings(options_.path));
            auto changed = runtime::changed_settings(options_.current, values);
            const auto applied = options_.apply(values);
            std::erase_if(
                changed, [&](const std::string& name)
                { return std::find(applied.begin(), applied.end(), name) != applied.end(); });
            log_event(
                runtime::event_id::settings_reloaded,
                {{"applied", joined(applied)}, {"restart", joined(changed)}});
            options_.current = std::move(values);
            return {};
        },
        [](const runtime::settings_error& error) {
            log_event(runtime::event_id::settings_invalid, {{"error", error.message()}});
        },
        [](const std::exception& error) {
            log_event(runtime::event_id::settings_invalid, {{"error", error.what()}});
        },
        [] { log_event(runtime::event_id::settings_invalid); });
}

} // namespace catkintally::entry
