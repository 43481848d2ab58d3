#pragma once

#include <catkintally/core/fleet/admission_gateway.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace catkintally::core
{

/// Bounds of an answer_store.
struct answer_store_options
{
    std::size_t max_total_bytes = std::size_t{16} << 20;
    /// Larger answers are not kept. Must fit into one answer_reply.
    std::size_t max_answer_bytes = std::size_t{1} << 20;
    duration keep = std::chrono::minutes(10);
};

/// Whole answers of keyed requests that this instance dispatched. The oldest answers make room for
/// new ones; a caller then gets "already run" without the body.
class answer_store
{
public:
    explicit answer_store(answer_store_options options = {})
        : options_(options)
    {
    }

    /// Keeps the answer to `key` of `service`.
    void
    put(const std::string& service,
        const std::string& key,
        std::shared_ptr<const stored_answer> answer,
        time_point now);

    /// Kept answer, nullptr if there is none.
    [[nodiscard]] std::shared_ptr<const stored_answer>
    find(const std::string& service, const std::string& key, time_point now);

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    using answer_key = std::pair<std::string, std::string>;
    struct entry
    {
        answer_key key;
        std::shared_ptr<const stored_answer> answer;
        std::size_t bytes = 0;
        time_point stored{};
    };

    void drop_oldest();

    answer_store_options options_;
    /// Oldest first.
    std::list<entry> entries_;
    std::map<answer_key, std::list<entry>::iterator> index_;
    std::size_t bytes_ = 0;
};

} // namespace catkintally::core
