#pragma once

#include <catkintally/runtime/time/event_loop.hpp>
#include <catkintally/stand_ins/target/target_model.hpp>

#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;
struct evkeyvalq;

namespace catkintally::stand_ins
{

/// HTTP front of one target: accepts requests on its port and answers as its model decides. While
/// the model is down, the port is closed and every connection is gone.
class target_server
{
public:
    /// `loop`, `timers` and `log` must outlive this object. Throws std::runtime_error if the port
    /// is taken.
    target_server(
        runtime::event_loop& loop,
        core::timer_service& timers,
        target_log& log,
        const target_options& options,
        std::string address,
        std::uint16_t port,
        std::string key_header);
    ~target_server();
    target_server(const target_server&) = delete;
    target_server& operator=(const target_server&) = delete;

    [[nodiscard]] target_model& model() { return model_; }

private:
    struct exchange;

    void open();
    void close();
    /// Adds what the target says about itself to an answer.
    void add_state(evkeyvalq* headers);
    void handle(evhttp_request* request);
    void answer(std::uint64_t id, const target_answer& given);
    static void on_request(evhttp_request* request, void* context);

    runtime::event_loop& loop_;
    core::timer_service& timers_;
    std::string address_;
    std::uint16_t port_;
    std::string key_header_;
    evhttp* http_ = nullptr;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
    target_model model_;
};

} // namespace catkintally::stand_ins
