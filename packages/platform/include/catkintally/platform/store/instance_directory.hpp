#pragma once

#include <catkintally/platform/store/platform_api.hpp>

namespace catkintally::platform
{

/// One entry of the platform's list of live and leaving instances. The list lags.
struct listed_instance
{
    std::string id{};
    /// Address for callers.
    std::string address{};
    /// Failure domain.
    std::string domain{};
    /// True if the platform is about to stop it.
    bool leaving = false;
    /// Admin address; empty if the entry has none.
    std::string admin{};

    bool operator==(const listed_instance&) const = default;
};

/// Access to the platform's list of instances.
class instance_directory
{
public:
    using list_hook = std::function<void(core::store_status, std::vector<listed_instance>)>;

    /// `api` must outlive this object.
    explicit instance_directory(platform_api& api)
        : api_(api)
    {
    }

    /// Reads the list. Entries without an id are left out.
    void list(list_hook done);

    /// Announces this instance. Only the stand-in needs this call; the hosting platform knows its
    /// instances by itself and may answer 404.
    void announce(const listed_instance& self, std::function<void(core::store_status)> done);

private:
    platform_api& api_;
};

} // namespace catkintally::platform
