#include <membership/membership_service.h>

#include <kernel/check.h>
#include <membership/epoch_record.h>

#include <utility>

namespace camphorgrade::membership {

namespace leaf = boost::leaf;

namespace {

constexpr token timer_keep_alive = 1;
constexpr token timer_register = 2;
constexpr token timer_poll = 3;
constexpr token timer_watch = 4;

std::string key_of(const node_id& address) {
    return nodes_prefix + address.value();
}

std::string end_of_nodes() {
    return kv_prefix_end(nodes_prefix);
}

} // namespace

membership_service::membership_service(node_info self, membership_options options)
    : self_(std::move(self)), options_(options) {
    nodes_.emplace(self_.address, self_);
}

void membership_service::start(step& now) {
    CAMPHOR_PRECONDITION(now.self() == self_.address && now.life() == self_.life);
    register_self(now);
    read_all(now);
    arm(timer_keep_alive, options_.keep_alive_period, now);
    arm(timer_poll, options_.poll_period, now);
}

void membership_service::on_timer(token id, step& now) {
    if (deregistered_) {
        return;
    }
    if (id == timer_keep_alive) {
        arm(timer_keep_alive, options_.keep_alive_period, now);
        if (lease_ != 0) {
            call(call_kind::keep_alive, kv_lease_keep_alive{lease_}, now);
        }
    } else if (id == timer_register) {
        register_self(now);
    } else if (id == timer_poll) {
        arm(timer_poll, options_.poll_period, now);
        if (!fed_ && !watching_) {
            read_all(now);
        }
    } else if (id == timer_watch && watching_ && !watch_open_) {
        read_all(now);
    }
}

void membership_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
    const auto kind = static_cast<call_kind>(id);
    if (kind == call_kind::watch) {
        watch_open_ = false;
    }
    if (deregistered_) {
        return;
    }
    if (const auto* lease = std::get_if<kv_lease_result>(&reply)) {
        on_lease(kind, *lease, now);
    } else if (const auto* range = std::get_if<kv_range_result>(&reply)) {
        if (kind == call_kind::read_self) {
            on_self_read(*range, now);
        } else {
            on_range(*range, now);
        }
    } else if (const auto* changes = std::get_if<kv_watch_result>(&reply)) {
        on_watch(*changes, now);
    } else if (std::holds_alternative<kv_failure>(reply)) {
        on_failure(kind, now);
    } else if (kind == call_kind::put) {
        read_self(now);
    }
}

void membership_service::on_shutdown(step& now) {
    self_.state = node_state::leaving;
    nodes_[self_.address] = self_;
    if (lease_ != 0 && !registering_) {
        registering_ = true;
        read_self(now);
    }
    tell(now);
}

std::vector<node_info> membership_service::nodes() const {
    std::vector<node_info> all;
    for (const auto& [address, node] : nodes_) {
        all.push_back(node);
    }
    return all;
}

std::vector<node_info> membership_service::live_gateways() const {
    return live(node_role::gateway);
}

std::vector<node_info> membership_service::live_agents() const {
    return live(node_role::agent);
}

const node_info* membership_service::find(const node_id& address) const {
    const auto found = nodes_.find(address);
    return found == nodes_.end() ? nullptr : &found->second;
}

void membership_service::merge(std::int64_t revision, const std::vector<node_info>& list,
                               step& now) {
    if (revision <= revision_) {
        return;
    }
    std::map<node_id, node_info> next;
    for (const node_info& each : list) {
        next.emplace(each.address, each);
    }
    next[self_.address] = self_;
    revision_ = revision;
    if (next != nodes_) {
        nodes_ = std::move(next);
        tell(now);
    }
}

void membership_service::set_watching(bool watching, step& now) {
    const bool begins = watching && !watching_;
    watching_ = watching;
    if (begins && !watch_open_) {
        read_all(now);
    }
}

void membership_service::deregister(step& now) {
    if (lease_ != 0) {
        call(call_kind::revoke, kv_lease_revoke{lease_}, now);
    }
    deregistered_ = true;
}

void membership_service::call(call_kind kind, kv_request request, step& now) {
    ++store_calls_;
    now.emit(call_kv{std::string(name()), static_cast<token>(kind), std::move(request)});
}

void membership_service::arm(token id, duration after, step& now) {
    now.emit(set_timer{std::string(name()), id, now.time() + after});
}

void membership_service::register_self(step& now) {
    if (registering_) {
        return;
    }
    registering_ = true;
    if (lease_ != 0) {
        read_self(now);
        return;
    }
    call(call_kind::grant, kv_lease_grant{options_.lease_ttl_s}, now);
}

void membership_service::read_self(step& now) {
    call(call_kind::read_self, kv_range{key_of(self_.address), ""}, now);
}

void membership_service::on_self_read(const kv_range_result& result, step& now) {
    kv_entry stored;
    stored.key = key_of(self_.address);
    if (!result.entries.empty()) {
        stored = result.entries.front();
    }
    if (stored.lease == lease_ && stored.value == encode(self_)) {
        registering_ = false;
        return;
    }
    // Compared with what was read, so that an earlier write of ours that is still under way fails.
    kv_txn write;
    write.compares.push_back({stored.key, stored.mod_revision});
    write.success.emplace_back(kv_put{stored.key, encode(self_), lease_});
    call(call_kind::put, std::move(write), now);
}

void membership_service::read_all(step& now) {
    call(call_kind::range, kv_range{nodes_prefix, end_of_nodes()}, now);
}

void membership_service::watch(step& now) {
    if (watching_ && !watch_open_) {
        watch_open_ = true;
        call(call_kind::watch, kv_watch{nodes_prefix, end_of_nodes(), revision_ + 1}, now);
    }
}

void membership_service::on_lease(call_kind kind, const kv_lease_result& lease, step& now) {
    if (kind == call_kind::grant) {
        lease_ = lease.lease;
        read_self(now);
    } else if (kind == call_kind::keep_alive && lease.ttl_s <= 0) {
        lease_ = 0;
        register_self(now);
    }
}

void membership_service::on_range(const kv_range_result& result, step& now) {
    std::vector<node_info> list;
    for (const kv_entry& each : result.entries) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(node, decode_node(each.value));
                list.push_back(std::move(node));
                return {};
            },
            [] {});
    }
    merge(result.revision, list, now);
    watch(now);
}

void membership_service::on_watch(const kv_watch_result& result, step& now) {
    if (result.compacted) {
        read_all(now);
        return;
    }
    std::map<node_id, node_info> next = nodes_;
    for (const kv_watch_event& each : result.events) {
        const node_id address{each.entry.key.substr(std::string(nodes_prefix).size())};
        if (each.deleted) {
            next.erase(address);
            continue;
        }
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_ASSIGN(next[address], decode_node(each.entry.value));
                return {};
            },
            [] {});
    }
    std::vector<node_info> list;
    list.reserve(next.size());
    for (const auto& [address, node] : next) {
        list.push_back(node);
    }
    merge(result.revision, list, now);
    watch(now);
}

void membership_service::on_failure(call_kind kind, step& now) {
    switch (kind) {
    case call_kind::grant:
    case call_kind::put:
    case call_kind::read_self:
        // An ambiguous grant only wastes a lease; an ambiguous put is read back before it is
        // redone.
        registering_ = false;
        arm(timer_register, options_.retry_period, now);
        break;
    case call_kind::range:
    case call_kind::watch:
        arm(timer_watch, options_.retry_period, now);
        break;
    case call_kind::keep_alive:
    case call_kind::revoke:
        break;
    }
}

void membership_service::tell(step& now) {
    for (membership_listener* each : listeners_) {
        each->on_nodes_changed(now);
    }
}

std::vector<node_info> membership_service::live(node_role role) const {
    std::vector<node_info> found;
    for (const auto& [address, node] : nodes_) {
        if (node.role == role && node.state == node_state::active) {
            found.push_back(node);
        }
    }
    return found;
}

} // namespace camphorgrade::membership
