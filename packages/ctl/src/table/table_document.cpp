#include <catkintally/ctl/table/table_document.hpp>

#include <catkintally/core/table/column.hpp>
#include <catkintally/core/table/table_check.hpp>

#include <algorithm>
#include <variant>

namespace catkintally::ctl
{

namespace leaf = boost::leaf;
using core::domain_row;
using core::service_row;
using core::table_error;
using core::target_row;

namespace
{

template <class Row>
std::vector<std::string> values_of(const Row& row)
{
    std::vector<std::string> values;
    for (const auto& each : core::columns_of<Row>())
    {
        values.push_back(core::column_to_text(row, each));
    }
    return values;
}

table_error error_at(const row_id& id, std::string_view column, core::column_error wrong)
{
    return {
        .kind = wrong.kind,
        .row = to_string(id),
        .column = std::string(column),
        .reason = std::move(wrong.reason)};
}

template <class Row>
std::vector<table_error> fill(Row& row, const row_id& id, const std::vector<std::string>& values)
{
    std::vector<table_error> errors;
    std::size_t index = 0;
    for (const auto& each : core::columns_of<Row>())
    {
        if (auto wrong = core::set_column_from_text(row, each, values.at(index++)))
        {
            errors.push_back(error_at(id, each.name, std::move(*wrong)));
        }
    }
    return errors;
}

template <class Row>
auto find_named(std::vector<Row>& rows, const std::string& name)
{
    return std::find_if(
        rows.begin(), rows.end(), [&](const Row& each) { return each.name == name; });
}

/// Whole rows in conflict messages.
std::string describe(const std::vector<std::string>& values)
{
    std::string text;
    for (const auto& each : values)
    {
        text += (text.empty() ? "" : ",") + each;
    }
    return text;
}

edit_result row_conflict(const row_id& row, std::string seen, std::string wanted, std::string found)
{
    return {
        .conflict = edit_conflict{
            .row = row,
            .seen = std::move(seen),
            .wanted = std::move(wanted),
            .found = std::move(found)}};
}

template <class Row>
edit_result add_to(std::vector<Row>& rows, const table_edit& edit)
{
    Row added;
    const auto errors = fill(added, edit.row, edit.values);
    if (!errors.empty())
    {
        return {.error = errors.front()};
    }
    rows.push_back(std::move(added));
    return {.changed = true};
}

} // namespace

/// Pointer to a row of any kind.
struct table_document::any_row
{
    std::variant<domain_row*, service_row*, target_row*> row;

    [[nodiscard]] std::vector<std::string> values() const
    {
        return std::visit([](const auto* each) { return values_of(*each); }, row);
    }
};

table_document table_document::load(
    const std::vector<core::store_object>& objects, std::vector<table_error>& errors)
{
    table_document document;
    for (const auto& object : objects)
    {
        document.versions_[object.key] = object.version;
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                if (object.key == core::domains_key)
                {
                    BOOST_LEAF_ASSIGN(document.domains_, core::decode_domains(object));
                    return {};
                }
                BOOST_LEAF_ASSIGN(document.services_[object.key], core::decode_service(object));
                return {};
            },
            [&](const table_error& error)
            {
                document.services_.erase(object.key);
                errors.push_back(error);
            },
            [&] { document.services_.erase(object.key); });
    }
    return document;
}

std::vector<table_row> table_document::rows() const
{
    std::vector<table_row> rows;
    for (const auto& each : domains_.domains)
    {
        rows.push_back(
            {.id = {.kind = row_kind::domain, .name = each.name}, .values = values_of(each)});
    }
    for (const auto& [key, stored] : services_)
    {
        if (!stored.removed)
        {
            rows.push_back(
                {.id = {.kind = row_kind::service, .name = stored.config.service.name},
                 .values = values_of(stored.config.service)});
        }
    }
    for (const auto& [key, stored] : services_)
    {
        for (const auto& each : stored.config.targets)
        {
            rows.push_back(
                {.id =
                     {.kind = row_kind::target,
                      .service = stored.config.service.name,
                      .name = each.name},
                 .values = values_of(each)});
        }
    }
    return rows;
}

std::string table_document::key_of(const row_id& id)
{
    return id.kind == row_kind::domain
               ? core::domains_key
               : core::service_key(id.kind == row_kind::service ? id.name : id.service);
}

std::optional<table_document::any_row> table_document::locate(const row_id& id)
{
    if (id.kind == row_kind::domain)
    {
        const auto found = find_named(domains_.domains, id.name);
        return found == domains_.domains.end() ? std::nullopt : std::optional(any_row{&*found});
    }
    const auto found = services_.find(key_of(id));
    if (found == services_.end() || found->second.removed)
    {
        return std::nullopt;
    }
    auto& config = found->second.config;
    if (id.kind == row_kind::service)
    {
        return any_row{&config.service};
    }
    const auto target = find_named(config.targets, id.name);
    return target == config.targets.end() ? std::nullopt : std::optional(any_row{&*target});
}

std::optional<table_row> table_document::find(const row_id& id)
{
    const auto found = locate(id);
    return found ? std::optional(table_row{.id = id, .values = found->values()}) : std::nullopt;
}

edit_result table_document::apply(const table_edit& edit)
{
    if (edit.kind == edit_kind::add)
    {
        return add(edit);
    }
    if (edit.kind == edit_kind::remove)
    {
        return remove(edit);
    }
    const auto found = locate(edit.row);
    if (!found)
    {
        auto result = row_conflict(edit.row, edit.seen, edit.wanted, "no such row");
        result.conflict->column = edit.column;
        return result;
    }
    return std::visit(
        [&](auto* row) -> edit_result
        {
            using row_type = std::remove_pointer_t<decltype(row)>;
            const auto* column = core::find_column<row_type>(edit.column);
            const auto present = core::column_to_text(*row, *column);
            if (present == edit.wanted)
            {
                return {};
            }
            if (present != edit.seen)
            {
                return {
                    .conflict = edit_conflict{
                        .row = edit.row,
                        .column = edit.column,
                        .seen = edit.seen,
                        .wanted = edit.wanted,
                        .found = present}};
            }
            if (auto wrong = core::set_column_from_text(*row, *column, edit.wanted))
            {
                return {.error = error_at(edit.row, edit.column, std::move(*wrong))};
            }
            return {.changed = true};
        },
        found->row);
}

edit_result table_document::add(const table_edit& edit)
{
    if (const auto present = find(edit.row))
    {
        return present->values == edit.values
                   ? edit_result{}
                   : row_conflict(
                         edit.row, "no such row", describe(edit.values), describe(present->values));
    }
    if (edit.row.kind == row_kind::domain)
    {
        return add_to(domains_.domains, edit);
    }
    const auto key = key_of(edit.row);
    if (edit.row.kind == row_kind::service)
    {
        std::vector<service_row> added;
        auto result = add_to(added, edit);
        if (result.changed)
        {
            services_[key] = {};
            services_[key].config.service = added.front();
        }
        return result;
    }
    const auto service = services_.find(key);
    if (service == services_.end() || service->second.removed)
    {
        return {
            .error = table_error{
                .kind = core::table_error_kind::unknown_service,
                .row = to_string(edit.row),
                .column = "service",
                .reason = '\'' + edit.row.service + "' is not a listed service"}};
    }
    return add_to(service->second.config.targets, edit);
}

edit_result table_document::remove(const table_edit& edit)
{
    const auto present = find(edit.row);
    if (!present)
    {
        return {};
    }
    if (present->values != edit.values)
    {
        return row_conflict(edit.row, describe(edit.values), "removed", describe(present->values));
    }
    if (edit.row.kind == row_kind::domain)
    {
        domains_.domains.erase(find_named(domains_.domains, edit.row.name));
        return {.changed = true};
    }
    auto& stored = services_.at(key_of(edit.row));
    auto& targets = stored.config.targets;
    if (edit.row.kind == row_kind::target)
    {
        targets.erase(find_named(targets, edit.row.name));
        return {.changed = true};
    }
    // Another operator may have added a target that this one has not seen.
    if (!targets.empty())
    {
        return row_conflict(edit.row, "no targets", "removed", "target " + targets.front().name);
    }
    stored.removed = true;
    return {.changed = true};
}

std::uint64_t table_document::version_of(const std::string& key) const
{
    const auto found = versions_.find(key);
    return found == versions_.end() ? 0 : found->second;
}

std::uint64_t table_document::revision() const
{
    std::uint64_t newest = 0;
    for (const auto& [key, version] : versions_)
    {
        newest = std::max(newest, version);
    }
    return newest;
}

std::string table_document::encode(const std::string& key, const std::string& change_id) const
{
    if (key == core::domains_key)
    {
        auto stored = domains_;
        stored.change_id = change_id;
        return core::encode(stored);
    }
    auto stored = services_.at(key);
    stored.change_id = change_id;
    return core::encode(stored);
}

const std::vector<std::string>& table_document::unknown_columns(const std::string& key) const
{
    static const std::vector<std::string> none;
    const auto found = services_.find(key);
    return key == core::domains_key   ? domains_.unknown_columns
           : found == services_.end() ? none
                                      : found->second.unknown_columns;
}

core::table_snapshot table_document::snapshot() const
{
    core::table_snapshot table;
    table.revision = revision();
    for (const auto& each : domains_.domains)
    {
        table.domains.emplace(each.name, each);
    }
    for (const auto& [key, stored] : services_)
    {
        if (!stored.removed)
        {
            table.services.emplace(stored.config.service.name, stored.config);
        }
    }
    return table;
}

std::vector<table_error> table_document::check() const
{
    auto findings = core::check_domains(domains_.domains);
    const auto append = [&](std::vector<table_error> more)
    { findings.insert(findings.end(), more.begin(), more.end()); };
    for (const auto& [key, stored] : services_)
    {
        if (!stored.removed)
        {
            append(core::check_service(stored.config));
            append(core::check_object_size(
                core::service_row_name(stored.config.service.name), encode(key, "").size()));
        }
    }
    append(core::check_relations(snapshot()));
    return findings;
}

std::vector<table_error> check_row(const table_row& row)
{
    domain_row domain;
    service_row service;
    target_row target;
    switch (row.id.kind)
    {
    case row_kind::domain:
        return fill(domain, row.id, row.values);
    case row_kind::service:
        return fill(service, row.id, row.values);
    default:
        return fill(target, row.id, row.values);
    }
}

std::vector<std::string> default_values(row_kind kind)
{
    return kind == row_kind::domain    ? values_of(domain_row())
           : kind == row_kind::service ? values_of(service_row())
                                       : values_of(target_row());
}

} // namespace catkintally::ctl
