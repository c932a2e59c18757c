#pragma once

#include "base/payload.hpp"
#include "execution/key_binding.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>

namespace samphire
{

/// Content of one platform object `bindings/<n>`.
class binding_shard
{
public:
    /// Parses the JSON form; an empty value gives an empty shard, and any other
    /// text that is not of that form gives nullopt.
    static std::optional<binding_shard> parse(payload const& text);

    /// JSON form, as parse() reads it.
    payload text() const;

    /// Null when the key has no binding.
    key_binding const* find(request_id const& key) const;

    /// Increments the write number that bind() stores with each binding.
    void start_write();

    /// Stores the ticket as the next generation of the key.
    void bind(request_id const& key, execution_ticket const& ticket);

    /// Drops the oldest bindings until the estimated size of the text is within
    /// `max_bytes`, except those of the last `retained_writes` writes. False
    /// when the text remains larger.
    bool shrink(std::size_t max_bytes, std::uint64_t retained_writes);

private:
    std::uint64_t write_count_{};
    absl::flat_hash_map<request_id, key_binding> bindings_;
};

} // namespace samphire
