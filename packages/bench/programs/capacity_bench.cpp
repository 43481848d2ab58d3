/// Measures the slopes that docs/CAPACITY.md multiplies by the design target: bytes and processor
/// time of each control message, and memory and processor time of an owner.

#include <catkintally/bench/capacity/linear_fit.hpp>
#include <catkintally/bench/capacity/resource_meter.hpp>
#include <catkintally/core/admission/service_admission.hpp>
#include <catkintally/core/table/table_codec.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/wire/codec/frame_codec.hpp>
#include <catkintally/wire/codec/make_message.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace catkintally;
using namespace std::chrono_literals;

constexpr std::size_t targets_a_service = 12;
const std::string service_name = "service-0123";
const std::string target_name = "target-01234";
const std::string key = "0190b5e2-7c4f-7d3a-9b11-0123456789ab";

struct named_message
{
    const char* name;
    wire::payloadUnion message;
};

std::vector<named_message> sample_messages()
{
    std::vector<named_message> messages;
    const auto add = [&messages](const char* name, auto data) {
        messages.push_back({name, wire::make_message(std::move(data))});
    };

    wire::heartbeat_data heartbeat;
    heartbeat.epoch = 1234567;
    heartbeat.table_revision = 7654321;
    heartbeat.sequence = 1;
    heartbeat.echo_sequence = 1;
    heartbeat.store_reachable = true;
    add("heartbeat", heartbeat);

    wire::grant_request_data request;
    request.request_id = 1;
    request.epoch = 1;
    request.service = service_name;
    request.key = key;
    request.fingerprint = 1;
    request.deadline_us = 1'000'000;
    add("grant_request", request);

    wire::grant_reply_data reply;
    reply.request_id = 1;
    reply.epoch = 1;
    reply.service = service_name;
    reply.target = target_name;
    reply.validity_us = 200'000;
    add("grant_reply", reply);

    wire::completion_data completion;
    completion.request_id = 1;
    completion.epoch = 1;
    completion.service = service_name;
    completion.target = target_name;
    completion.status = 200;
    completion.service_time_us = 10'000;
    completion.load = std::make_unique<wire::load_report_data>();
    completion.load->running = 1;
    completion.load->present = true;
    add("completion", std::move(completion));

    wire::witness_put_data put;
    put.sequence = 1;
    put.epoch = 1;
    put.service = service_name;
    auto record = std::make_unique<wire::key_record_data>();
    record->key = key;
    record->request_id = 1;
    record->dispatcher = "instance-0001";
    put.records.push_back(std::move(record));
    add("witness_put", std::move(put));

    wire::witness_ack_data ack;
    ack.sequence = 1;
    ack.epoch = 1;
    ack.service = service_name;
    ack.accepted = true;
    add("witness_ack", ack);
    return messages;
}

/// Prints bytes on the link and processor time for one encoding and one decoding of each message.
void measure_messages()
{
    constexpr int rounds = 200'000;
    std::printf("%-14s %8s %12s\n", "message", "bytes", "codec_ns");
    for (const named_message& entry : sample_messages())
    {
        const std::string frame = wire::encode_frame(entry.message).value();
        const double start = bench::processor_time_ns();
        for (int round = 0; round < rounds; ++round)
        {
            const std::string encoded = wire::encode_frame(entry.message).value();
            const auto* bytes = reinterpret_cast<const std::uint8_t*>(encoded.data());
            wire::frame_decoder decoder;
            decoder.append({bytes, encoded.size()});
            if (!decoder.next().value())
            {
                std::fprintf(stderr, "frame of %s did not decode\n", entry.name);
                return;
            }
        }
        const double each = (bench::processor_time_ns() - start) / rounds;
        std::printf("%-14s %8zu %12.0f\n", entry.name, frame.size(), each);
    }
}

core::service_config service_with_targets(std::size_t index)
{
    core::service_config config;
    config.service.name = "service-" + std::to_string(index);
    for (std::size_t target = 0; target < targets_a_service; ++target)
    {
        core::target_row row;
        row.name = "target-" + std::to_string(target);
        row.address = "10.0.0.1:" + std::to_string(1000 + target);
        row.failure_domain = "domain-" + std::to_string(target % 4);
        config.targets.push_back(std::move(row));
    }
    return config;
}

/// State of an owner of several services; counts the grants it received.
struct owner
{
    core::manual_timer_service timers;
    core::table_snapshot table;
    std::vector<std::unique_ptr<core::service_admission>> services;
    std::string granted_target;

    explicit owner(std::size_t service_count)
    {
        for (std::size_t index = 0; index < service_count; ++index)
        {
            auto config = service_with_targets(index);
            core::service_admission_options options;
            options.service = config.service.name;
            options.timers = &timers;
            options.seed = index;
            options.decide = [this](const core::admission_decision& decision)
            { granted_target = decision.target; };
            services.push_back(std::make_unique<core::service_admission>(std::move(options)));
            services.back()->apply(config, table);
            table.services.emplace(config.service.name, std::move(config));
        }
    }

    /// Grants and completes one request of the service; returns false if it was refused.
    bool serve(std::size_t index, core::request_id id)
    {
        core::admission_request request;
        request.id = id;
        request.service = table.services.begin()->first;
        request.instance = "instance-0001";
        request.failure_domain = "domain-0";
        request.idempotent = true;
        request.fingerprint = id;
        request.deadline_left = 1s;
        granted_target.clear();
        services[index]->submit(request);
        if (granted_target.empty())
        {
            return false;
        }
        core::completion_report report;
        report.id = id;
        report.service = request.service;
        report.target = granted_target;
        report.status = 200;
        report.service_time = 10ms;
        timers.advance(10ms);
        services[index]->complete(report);
        return true;
    }
};

/// Prints memory and processor time of an owner over the number of services that it owns.
void measure_owner()
{
    constexpr core::request_id requests = 200'000;
    std::vector<bench::sample> memory;
    std::printf("\n%-10s %14s %16s\n", "services", "owner_bytes", "ns_per_request");
    for (const std::size_t count :
         {std::size_t{10}, std::size_t{100}, std::size_t{400}, std::size_t{1400}})
    {
        const std::size_t before = bench::allocated_bytes();
        owner subject(count);
        const std::size_t bytes = bench::allocated_bytes() - before;
        memory.push_back({static_cast<double>(count), static_cast<double>(bytes)});

        const double start = bench::processor_time_ns();
        for (core::request_id id = 1; id <= requests; ++id)
        {
            if (!subject.serve(id % count, id))
            {
                std::fprintf(
                    stderr, "request %llu was refused\n", static_cast<unsigned long long>(id));
                return;
            }
        }
        const double each = (bench::processor_time_ns() - start) / static_cast<double>(requests);
        std::printf("%-10zu %14zu %16.0f\n", count, bytes, each);
    }
    const bench::linear_fit fit = bench::fit_line(memory);
    std::printf(
        "owner memory: %.0f bytes + %.0f bytes a service of %zu targets, worst residual %.1f %%\n",
        fit.offset, fit.slope, targets_a_service, fit.worst_residual * 100);
}

/// Prints the size of the stored table, and memory and processor time to read it.
void measure_table()
{
    std::vector<bench::sample> stored;
    std::vector<bench::sample> memory;
    std::vector<bench::sample> time;
    std::printf("\n%-10s %14s %14s %14s\n", "targets", "stored_bytes", "memory_bytes", "decode_us");
    for (const std::size_t count : {std::size_t{100}, std::size_t{400}, std::size_t{1400}})
    {
        std::vector<core::store_object> objects;
        std::size_t bytes = 0;
        for (std::size_t index = 0; index < count; ++index)
        {
            core::stored_service service;
            service.config = service_with_targets(index);
            service.change_id = key;
            core::store_object object;
            object.key = core::service_key(service.config.service.name);
            object.version = index + 1;
            object.value = core::encode(service);
            bytes += object.value.size();
            objects.push_back(std::move(object));
        }

        const std::size_t before = bench::allocated_bytes();
        const double start = bench::processor_time_ns();
        std::vector<core::stored_service> decoded;
        decoded.reserve(count);
        for (const core::store_object& object : objects)
        {
            decoded.push_back(core::decode_service(object).value());
        }
        const double used_us = (bench::processor_time_ns() - start) / 1000;
        const std::size_t held = bench::allocated_bytes() - before;

        const auto targets = static_cast<double>(count * targets_a_service);
        stored.push_back({targets, static_cast<double>(bytes)});
        memory.push_back({targets, static_cast<double>(held)});
        time.push_back({targets, used_us});
        std::printf("%-10.0f %14zu %14zu %14.0f\n", targets, bytes, held, used_us);
    }
    std::printf(
        "table: %.0f stored bytes, %.0f bytes of memory and %.1f us to decode a target, worst "
        "residuals %.1f %%, %.1f %%, %.1f %%\n",
        bench::fit_line(stored).slope, bench::fit_line(memory).slope, bench::fit_line(time).slope,
        bench::fit_line(stored).worst_residual * 100, bench::fit_line(memory).worst_residual * 100,
        bench::fit_line(time).worst_residual * 100);
}

} // namespace

int main()
{
    measure_messages();
    measure_owner();
    measure_table();
    return 0;
}
