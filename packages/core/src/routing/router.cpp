#include <catkintally/core/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

namespace
{

/// Removes trailing slashes, so that "/a/" and "/a" are looked up alike.
std::string_view without_trailing_slash(std::string_view path)
{
    while (!path.empty() && path.back() == '/')
    {
        path.remove_suffix(1);
    }
    return path;
}

} // namespace

std::string normalized_host(std::string_view host)
{
    // The colon before a port follows the closing bracket of an IPv6 address.
    const auto bracket = host.rfind(']');
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos &&
        (bracket == std::string_view::npos ? host.find(':') == colon : colon > bracket))
    {
        host = host.substr(0, colon);
    }
    if (!host.empty() && host.back() == '.')
    {
        host.remove_suffix(1);
    }
    std::string out(host);
    std::transform(
        out.begin(), out.end(), out.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return out;
}

router::router()
    : router(std::make_shared<const table_snapshot>())
{
}

router::router(std::shared_ptr<const table_snapshot> table)
    : table_(std::move(table))
{
    for (const route_row& row : table_->routes)
    {
        prefixes_by_host_[normalized_host(row.host)].emplace(
            without_trailing_slash(row.path_prefix), entry{.route = row, .literal = true});
    }
    for (const auto& [name, config] : table_->services)
    {
        if (config.service.path_prefix.empty())
        {
            continue;
        }
        // Of two services with the same host and prefix, the first by name is used, so that all
        // instances choose the same one.
        entry implied;
        implied.route.name = name;
        implied.route.host = config.service.host;
        implied.route.path_prefix = config.service.path_prefix;
        implied.route.destinations = {{.service = name}};
        prefixes_by_host_[normalized_host(config.service.host)].emplace(
            without_trailing_slash(config.service.path_prefix), std::move(implied));
    }
}

const service_config* router::service(const std::string& name) const
{
    const auto found = table_->services.find(name);
    return found == table_->services.end() ? nullptr : &found->second;
}

const route_row* router::find(std::string_view host, std::string_view path) const
{
    const std::string exact = normalized_host(host);
    for (const std::string_view candidate : {std::string_view(exact), std::string_view()})
    {
        const auto prefixes = prefixes_by_host_.find(candidate);
        if (prefixes == prefixes_by_host_.end())
        {
            continue;
        }
        // Removes the last path segment until a prefix matches.
        std::string_view rest = without_trailing_slash(path);
        while (true)
        {
            const auto found = prefixes->second.find(rest);
            if (found != prefixes->second.end() &&
                (!found->second.literal || path.starts_with(found->second.route.path_prefix)))
            {
                return &found->second.route;
            }
            const auto slash = rest.rfind('/');
            if (slash == std::string_view::npos)
            {
                break;
            }
            rest = rest.substr(0, slash);
        }
    }
    return nullptr;
}

} // namespace catkintally::core
