#include <catkintally/entry/news/update_messages.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace catkintally::entry
{

wire::payloadUnion to_message(const object_update& update)
{
    wire::news_update_data data;
    data.prefix = update.prefix;
    data.digest = update.digest;
    data.version = update.version;
    data.whole = update.whole;
    data.era = update.era;
    data.era_reader = update.era_reader;
    for (const core::store_object& object : update.objects)
    {
        auto copy = std::make_unique<wire::news_object_data>();
        copy->key = object.key;
        copy->version = object.version;
        if (const auto delta = update.deltas.find(object.key); delta != update.deltas.end())
        {
            copy->delta.assign(delta->second.bytes.begin(), delta->second.bytes.end());
            copy->base_version = delta->second.base.version;
            copy->base_era = delta->second.base.era;
        }
        else
        {
            copy->value = object.value;
        }
        copy->status = object.status;
        copy->deleted = object.deleted;
        copy->era = object.era;
        copy->content = object.content;
        data.objects.push_back(std::move(copy));
    }
    return wire::make_message(std::move(data));
}

object_update to_update(const wire::news_update_data& data)
{
    object_update update;
    update.prefix = data.prefix;
    update.digest = data.digest;
    update.version = data.version;
    update.whole = data.whole;
    update.era = data.era;
    update.era_reader = data.era_reader;
    for (const auto& object : data.objects)
    {
        update.objects.push_back(
            {.key = object->key,
             .version = object->version,
             .value = object->value,
             .deleted = object->deleted,
             .status = object->status,
             .era = object->era,
             .content = object->content});
        if (!object->delta.empty())
        {
            update.deltas[object->key] = {
                .base = {.era = object->base_era, .version = object->base_version},
                .bytes = std::string(object->delta.begin(), object->delta.end())};
        }
    }
    return update;
}

bool is_well_formed(const object_update& update)
{
    const bool contradicts_itself = update.whole && !update.deltas.empty();
    return update.version != 0 && !contradicts_itself &&
           std::all_of(
               update.objects.begin(), update.objects.end(),
               [&](const core::store_object& object) {
                   return object.key.size() > update.prefix.size() &&
                          object.key.starts_with(update.prefix);
               });
}

} // namespace catkintally::entry
