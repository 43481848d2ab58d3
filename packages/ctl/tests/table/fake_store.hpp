#pragma once

#include <catkintally/ctl/table/store_calls.hpp>
#include <catkintally/ctl/table/table_document.hpp>
#include <catkintally/stand_ins/platform/versioned_objects.hpp>

#include <deque>
#include <functional>
#include <string>

namespace catkintally::ctl
{

/// What happens to one write.
enum class put_fault : std::uint8_t
{
    none,
    /// It takes effect, but the answer is lost.
    lost_answer,
    /// It has no effect, and there is no answer.
    lost_call,
    /// It takes effect only when the writer waits before its next attempt; there is no answer.
    late_effect,
    /// The API refuses it.
    refused
};

/// Store in memory. Faults apply to one write each, in order; `before_put` and `after_put` let
/// another operator act at the worst moment.
struct fake_store
{
    [[nodiscard]] store_calls calls()
    {
        return {
            .list =
                [this](const std::string&)
            {
                core::store_list_result result{
                    .status = reads, .version = objects.version(), .objects = {}};
                for (const auto& [key, object] : objects.objects())
                {
                    result.objects.push_back(
                        {.key = key, .version = object.version, .value = object.value});
                }
                return result;
            },
            .get =
                [this](const std::string& key)
            {
                const auto version = objects.version_of(key);
                return core::store_result{
                    .status = reads != core::store_status::ok ? reads
                              : version == 0                  ? core::store_status::not_found
                                                              : core::store_status::ok,
                    .version = version,
                    .value = version == 0 ? "" : objects.objects().at(key).value};
            },
            .put = [this](const std::string& key, const std::string& value, std::uint64_t version)
            { return put(key, value, version); },
            .pause =
                [this](std::size_t)
            {
                ++pauses;
                run(late);
            },
            .new_change_id = [this] { return "change-" + std::to_string(++change_ids); }};
    }

    core::store_result
    put(const std::string& key, const std::string& value, std::uint64_t if_version)
    {
        ++puts;
        run(before_put);
        put_fault fault = put_fault::none;
        if (!faults.empty())
        {
            fault = faults.front();
            faults.pop_front();
        }
        if (fault == put_fault::refused)
        {
            return {.status = core::store_status::unavailable, .version = 0, .value = ""};
        }
        if (fault == put_fault::late_effect)
        {
            late = [this, key, value, if_version] { objects.put(key, value, if_version); };
        }
        std::optional<std::uint64_t> written;
        if (fault == put_fault::none || fault == put_fault::lost_answer)
        {
            written = objects.put(key, value, if_version);
            run(after_put);
        }
        if (fault != put_fault::none)
        {
            return {.status = core::store_status::unknown, .version = 0, .value = ""};
        }
        return {
            .status = written ? core::store_status::ok : core::store_status::conflict,
            .version = written.value_or(0),
            .value = ""};
    }

    /// Edits the store as another operator does.
    void edit(const table_edit& change)
    {
        std::vector<core::table_error> errors;
        auto document = table_document::load(calls().list("").objects, errors);
        document.apply(change);
        const auto key = table_document::key_of(change.row);
        objects.put(key, document.encode(key, "other"), std::nullopt);
    }

    /// Value of a column in the store.
    [[nodiscard]] std::string value(const row_id& row, const std::string& column)
    {
        std::vector<core::table_error> errors;
        auto document = table_document::load(calls().list("").objects, errors);
        const auto found = document.find(row);
        const auto& names = column_names(row.kind);
        const auto position = std::find(names.begin(), names.end(), column) - names.begin();
        return found ? found->values.at(static_cast<std::size_t>(position)) : "no row";
    }

    /// Runs a hook once.
    static void run(std::function<void()>& hook)
    {
        if (const auto once = std::exchange(hook, nullptr))
        {
            once();
        }
    }

    stand_ins::versioned_objects objects{1000};
    std::deque<put_fault> faults;
    std::function<void()> before_put;
    std::function<void()> after_put;
    std::function<void()> late;
    core::store_status reads = core::store_status::ok;
    int puts = 0;
    int pauses = 0;
    int change_ids = 0;
};

/// Store with failure domains a and b, and service stock with targets t1 and t2 in a.
inline void fill(fake_store& store)
{
    core::stored_domains domains;
    domains.domains = {{.name = "a"}, {.name = "b"}};
    store.objects.put(core::domains_key, encode(domains), 0);
    core::stored_service stock;
    stock.config.service.name = std::string("stock");
    stock.config.targets = {
        {.name = "t1", .address = "127.0.0.1:81", .failure_domain = "a"},
        {.name = "t2", .address = "127.0.0.1:82", .failure_domain = "a"}};
    store.objects.put(core::service_key("stock"), encode(stock), 0);
}

} // namespace catkintally::ctl
