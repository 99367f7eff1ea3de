#include "peridotrudder/requests/partition_replica.hpp"

#include <algorithm>
#include <utility>

namespace peridotrudder {

namespace {

constexpr milliseconds resend_interval{200};
constexpr milliseconds sweep_interval{5'000};
/// How long to wait for seal replies of members that left the view.
constexpr milliseconds seal_timeout{3'000};
/// Longer answers are not stored; a repeated call gets `answer_not_kept`.
constexpr std::size_t max_stored_answer_size = 4'096;

outcome truncate_for_storage(const outcome& result)
{
    outcome stored_outcome = result;
    if (stored_outcome.m_body.size() > max_stored_answer_size) {
        stored_outcome.m_body.clear();
        stored_outcome.m_refusal = refusal::answer_not_kept;
    }
    return stored_outcome;
}

} // namespace

partition_replica::partition_replica(std::uint32_t partition, std::string self)
    : m_partition{partition},
      m_self{std::move(self)}
{
}

const partition_epoch* partition_replica::newest_epoch() const
{
    return m_history.m_epochs.empty() ? nullptr : &m_history.m_epochs.back();
}

std::string partition_replica::home() const
{
    const auto* epoch = newest_epoch();
    return epoch == nullptr || epoch->m_holders.empty() ? std::string{} : epoch->m_holders.front();
}

bool partition_replica::is_home() const
{
    return home() == m_self;
}

bool partition_replica::is_handed_over() const
{
    const auto* epoch = newest_epoch();
    if (m_installed_epoch == 0 || epoch == nullptr) {
        return true;
    }
    return !epoch->holds(m_self) && m_promised_epoch >= epoch->m_epoch;
}

void partition_replica::set_history(const partition_history& history, const view& current,
                                    time_point now, replica_actions& actions)
{
    const std::uint64_t before = newest_epoch() == nullptr ? 0 : newest_epoch()->m_epoch;
    m_history = history;
    m_members.clear();
    for (const auto& current_member : current.m_members) {
        m_members.insert(current_member.m_incarnation);
    }
    const auto* epoch = newest_epoch();
    if (epoch == nullptr || epoch->m_epoch == before) {
        return;
    }
    m_stage = stage::idle;
    if (!is_home() || m_promised_epoch > epoch->m_epoch) {
        // A member that promised a later epoch must not open this one.
        return;
    }
    m_promised_epoch = epoch->m_epoch;
    const std::size_t count = m_history.m_epochs.size();
    if (count >= 2) {
        start_sealing(count - 2, now, actions);
        return;
    }
    if (m_history.m_truncated) {
        m_lost_at = now;
    }
    start_installing(now, actions);
}

void partition_replica::start_sealing(std::size_t epoch_index, time_point now,
                                      replica_actions& actions)
{
    m_stage = stage::sealing;
    m_sealing_index = epoch_index;
    m_sealing_since = now;
    m_next_resend = now + resend_interval;
    m_seal_replies.clear();
    const auto& sealed = m_history.m_epochs[epoch_index];
    if (sealed.holds(m_self)) {
        m_seal_replies[m_self] = make_seal_reply(newest_epoch()->m_epoch, sealed.m_epoch, now);
    }
    send_seal_requests(actions);
    check_seals(now, actions);
}

void partition_replica::send_seal_requests(replica_actions& actions) const
{
    const auto& sealed = m_history.m_epochs[m_sealing_index];
    for (const auto& holder : sealed.m_holders) {
        if (m_seal_replies.count(holder) == 0) {
            const seal_request request{m_partition, newest_epoch()->m_epoch, sealed.m_epoch};
            actions.m_messages.push_back({holder, request});
        }
    }
}

void partition_replica::check_seals(time_point now, replica_actions& actions)
{
    const auto& sealed = m_history.m_epochs[m_sealing_index];
    const bool enough = m_seal_replies.size() >= majority_of(sealed.m_holders.size());
    const bool majority_lost =
        !enough && has_lost_majority(sealed) && now - m_sealing_since >= seal_timeout;
    if (!enough && !majority_lost) {
        return;
    }
    for (const auto& [holder, reply] : m_seal_replies) {
        for (const auto& record : reply.m_records) {
            merge(record, now);
        }
        merge_loss_time(reply.m_lost_ago, now);
    }
    if (majority_lost) {
        // Acknowledged intents may be lost with their holders: until the retry windows have
        // passed, no key is known not to have run.
        m_lost_at = now;
        start_installing(now, actions);
        return;
    }
    const bool any_has_records =
        std::any_of(m_seal_replies.begin(), m_seal_replies.end(),
                    [](const auto& entry) { return entry.second.m_has_records; });
    if (any_has_records) {
        start_installing(now, actions);
        return;
    }
    // A majority of the holders never received the records in that epoch, and now never will, so
    // no intent was acknowledged in it. The previous epoch's holders have the records.
    if (m_sealing_index > 0) {
        start_sealing(m_sealing_index - 1, now, actions);
        return;
    }
    if (m_history.m_truncated) {
        m_lost_at = now;
    }
    start_installing(now, actions);
}

bool partition_replica::has_lost_majority(const partition_epoch& epoch) const
{
    const auto present =
        std::count_if(epoch.m_holders.begin(), epoch.m_holders.end(),
                      [this](const std::string& holder) { return m_members.count(holder) != 0; });
    return static_cast<std::size_t>(present) < majority_of(epoch.m_holders.size());
}

void partition_replica::start_installing(time_point now, replica_actions& actions)
{
    m_stage = stage::installing;
    m_installed_epoch = newest_epoch()->m_epoch;
    m_seal_replies.clear();
    m_installed_holders = {m_self};
    m_next_resend = now + resend_interval;
    for (const auto& holder : newest_epoch()->m_holders) {
        if (holder != m_self) {
            send_install(holder, now, actions);
        }
    }
    check_installs();
}

void partition_replica::send_install(const std::string& to, time_point now,
                                     replica_actions& actions) const
{
    install_request request;
    request.m_partition = m_partition;
    request.m_epoch = newest_epoch()->m_epoch;
    request.m_lost_ago = lost_ago(now);
    request.m_records.reserve(m_records.size());
    for (const auto& [key, stored] : m_records) {
        request.m_records.push_back(to_wire(stored, now));
    }
    actions.m_messages.push_back({to, std::move(request)});
}

void partition_replica::check_installs()
{
    if (m_stage == stage::installing &&
        m_installed_holders.size() >= majority_of(newest_epoch()->m_holders.size())) {
        m_stage = stage::open;
    }
}

void partition_replica::receive(const std::string& from, const partition_message& message,
                                time_point now, replica_actions& actions)
{
    std::visit([&](const auto& content) { receive_from(from, content, now, actions); }, message);
}

void partition_replica::receive_from(const std::string& from, const seal_request& message,
                                     time_point now, replica_actions& actions)
{
    if (message.m_epoch < m_promised_epoch) {
        return;
    }
    m_promised_epoch = message.m_epoch;
    if (newest_epoch() != nullptr && newest_epoch()->m_epoch < message.m_epoch) {
        // The sender knows a newer view, so this member's epoch has ended.
        m_stage = stage::idle;
    }
    actions.m_messages.push_back(
        {from, make_seal_reply(message.m_epoch, message.m_sealed_epoch, now)});
}

seal_reply partition_replica::make_seal_reply(std::uint64_t epoch, std::uint64_t sealed_epoch,
                                              time_point now) const
{
    seal_reply reply;
    reply.m_partition = m_partition;
    reply.m_epoch = epoch;
    reply.m_sealed_epoch = sealed_epoch;
    reply.m_has_records = m_installed_epoch >= sealed_epoch && m_installed_epoch != 0;
    reply.m_lost_ago = lost_ago(now);
    for (const auto& [key, stored] : m_records) {
        reply.m_records.push_back(to_wire(stored, now));
    }
    return reply;
}

void partition_replica::receive_from(const std::string& from, const seal_reply& message,
                                     time_point now, replica_actions& actions)
{
    if (m_stage != stage::sealing || message.m_epoch != newest_epoch()->m_epoch) {
        return;
    }
    const auto& sealed = m_history.m_epochs[m_sealing_index];
    if (message.m_sealed_epoch != sealed.m_epoch || !sealed.holds(from)) {
        return;
    }
    m_seal_replies[from] = message;
    check_seals(now, actions);
}

void partition_replica::receive_from(const std::string& from, const install_request& message,
                                     time_point now, replica_actions& actions)
{
    if (message.m_epoch < m_promised_epoch) {
        return;
    }
    m_promised_epoch = message.m_epoch;
    m_installed_epoch = message.m_epoch;
    for (const auto& record : message.m_records) {
        merge(record, now);
    }
    merge_loss_time(message.m_lost_ago, now);
    actions.m_messages.push_back({from, install_reply{m_partition, message.m_epoch}});
}

void partition_replica::receive_from(const std::string& from, const install_reply& message,
                                     time_point /*now*/, replica_actions& /*actions*/)
{
    const bool expects_reply = m_stage == stage::installing || m_stage == stage::open;
    if (!expects_reply || message.m_epoch != newest_epoch()->m_epoch ||
        !newest_epoch()->holds(from)) {
        return;
    }
    m_installed_holders.insert(from);
    check_installs();
}

void partition_replica::receive_from(const std::string& from, const intent_request& message,
                                     time_point now, replica_actions& actions)
{
    if (message.m_epoch != m_installed_epoch || message.m_epoch < m_promised_epoch) {
        return;
    }
    merge(message.m_record, now);
    const auto& record = message.m_record;
    actions.m_messages.push_back(
        {from, intent_reply{m_partition, message.m_epoch, record.m_key, record.m_version}});
}

void partition_replica::receive_from(const std::string& from, const intent_reply& message,
                                     time_point /*now*/, replica_actions& actions)
{
    auto* pending = find_attempt(message.m_key, message.m_version);
    if (pending == nullptr || !pending->m_intent_written || pending->m_acknowledged) {
        return;
    }
    const auto epoch =
        std::find_if(m_history.m_epochs.begin(), m_history.m_epochs.end(),
                     [&](const auto& candidate) { return candidate.m_epoch == message.m_epoch; });
    if (epoch == m_history.m_epochs.end() || !epoch->holds(from)) {
        return;
    }
    pending->m_acknowledged_by.insert(from);
    if (pending->m_acknowledged_by.size() >= majority_of(epoch->m_holders.size())) {
        pending->m_acknowledged = true;
        actions.m_acknowledged.push_back({message.m_key, message.m_version});
    }
}

void partition_replica::receive_from(const std::string& /*from*/, const record_update& message,
                                     time_point now, replica_actions& actions)
{
    const auto& incoming = message.m_record;
    const auto known = m_records.find(incoming.m_key);
    const bool newer =
        known == m_records.end() || known->second.m_record.m_version < incoming.m_version;
    merge(incoming, now);
    if (newer && is_open()) {
        // A former home reports the end of its attempt: the other holders need the update too.
        send_update(incoming.m_key, now, actions);
    }
}

begin_result partition_replica::begin(const keyed_call& call, time_point now)
{
    begin_result result;
    if (!is_home()) {
        result.m_verdict = begin_verdict::not_home;
        return result;
    }
    if (!is_open()) {
        return result;
    }
    const auto running = m_attempts.find(call.m_key);
    if (running != m_attempts.end()) {
        const bool same = running->second.m_digest == call.m_digest;
        result.m_verdict = same ? begin_verdict::running : begin_verdict::key_reused;
        return result;
    }
    const auto stored = m_records.find(call.m_key);
    if (stored != m_records.end()) {
        const auto& known = stored->second.m_record;
        if (known.m_digest != call.m_digest) {
            result.m_verdict = begin_verdict::key_reused;
            return result;
        }
        if (known.m_state == key_state::done) {
            result.m_verdict = begin_verdict::answered;
            result.m_outcome = known.m_outcome;
            return result;
        }
        if (known.m_state == key_state::intent) {
            result.m_verdict = begin_verdict::unknown;
            return result;
        }
    }
    else if (m_lost_at && now - *m_lost_at < call.m_retry_window) {
        result.m_verdict = begin_verdict::records_lost;
        return result;
    }
    attempt begun;
    begun.m_version = {newest_epoch()->m_epoch, ++m_last_sequence};
    begun.m_digest = call.m_digest;
    begun.m_retry_window = call.m_retry_window;
    result.m_verdict = begin_verdict::started;
    result.m_version = begun.m_version;
    m_attempts[call.m_key] = std::move(begun);
    return result;
}

partition_replica::attempt* partition_replica::find_attempt(std::string_view key,
                                                            record_version version)
{
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end() || !(found->second.m_version == version)) {
        return nullptr;
    }
    return &found->second;
}

bool partition_replica::write_intent(std::string_view key, record_version version, time_point now,
                                     replica_actions& actions)
{
    auto* begun = find_attempt(key, version);
    if (begun == nullptr) {
        return false;
    }
    const bool still_home = is_open() && newest_epoch()->m_epoch == version.m_epoch;
    if (!still_home) {
        m_attempts.erase(m_attempts.find(key));
        return false;
    }
    stored_record stored;
    stored.m_record.m_key = std::string{key};
    stored.m_record.m_digest = begun->m_digest;
    stored.m_record.m_version = version;
    stored.m_expires = now + begun->m_retry_window;
    begun->m_intent_written = true;
    begun->m_acknowledged_by = {m_self};
    const intent_request request{m_partition, version.m_epoch, to_wire(stored, now)};
    m_records[std::string{key}] = std::move(stored);
    for (const auto& holder : newest_epoch()->m_holders) {
        if (holder != m_self) {
            actions.m_messages.push_back({holder, request});
        }
    }
    if (begun->m_acknowledged_by.size() >= majority_of(newest_epoch()->m_holders.size())) {
        begun->m_acknowledged = true;
        actions.m_acknowledged.push_back({std::string{key}, version});
    }
    return true;
}

void partition_replica::release(std::string_view key, record_version version, time_point now,
                                replica_actions& actions)
{
    auto* ended = find_attempt(key, version);
    if (ended == nullptr) {
        return;
    }
    const bool written = ended->m_intent_written;
    m_attempts.erase(m_attempts.find(key));
    const auto stored = m_records.find(key);
    if (!written || stored == m_records.end() || !(stored->second.m_record.m_version == version)) {
        return;
    }
    stored->second.m_record.m_state = key_state::released;
    stored->second.m_record.m_version.m_sequence = ++m_last_sequence;
    send_update(key, now, actions);
}

void partition_replica::finish(std::string_view key, record_version version, const outcome& result,
                               time_point now, replica_actions& actions)
{
    auto* ended = find_attempt(key, version);
    if (ended == nullptr) {
        return;
    }
    const auto window = ended->m_retry_window;
    m_attempts.erase(m_attempts.find(key));
    const auto stored = m_records.find(key);
    if (stored == m_records.end() || !(stored->second.m_record.m_version == version)) {
        return;
    }
    auto& entry = stored->second;
    entry.m_record.m_state = key_state::done;
    entry.m_record.m_version.m_sequence = ++m_last_sequence;
    entry.m_record.m_outcome = truncate_for_storage(result);
    entry.m_expires = now + window;
    send_update(key, now, actions);
}

void partition_replica::give_up(std::string_view key, record_version version)
{
    if (find_attempt(key, version) != nullptr) {
        m_attempts.erase(m_attempts.find(key));
    }
}

void partition_replica::tick(time_point now, replica_actions& actions)
{
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        remove_expired(now);
    }
    if (now < m_next_resend) {
        return;
    }
    m_next_resend = now + resend_interval;
    if (m_stage == stage::sealing) {
        send_seal_requests(actions);
        check_seals(now, actions);
    }
    else if (m_stage == stage::installing || m_stage == stage::open) {
        for (const auto& holder : newest_epoch()->m_holders) {
            if (m_installed_holders.count(holder) == 0) {
                send_install(holder, now, actions);
            }
        }
    }
}

void partition_replica::remove_expired(time_point now)
{
    for (auto stored = m_records.begin(); stored != m_records.end();) {
        const bool has_attempt = m_attempts.count(stored->first) != 0;
        stored = stored->second.m_expires <= now && !has_attempt ? m_records.erase(stored)
                                                                 : std::next(stored);
    }
}

void partition_replica::merge(const key_record& incoming, time_point now)
{
    auto& stored = m_records[incoming.m_key];
    const bool is_new = stored.m_record.m_key.empty();
    if (!is_new && !(stored.m_record.m_version < incoming.m_version)) {
        return;
    }
    stored.m_record = incoming;
    stored.m_expires = now + incoming.m_expires_in;
}

void partition_replica::merge_loss_time(const std::optional<milliseconds>& lost_ago, time_point now)
{
    if (!lost_ago) {
        return;
    }
    const auto lost_at = now - *lost_ago;
    if (!m_lost_at || *m_lost_at < lost_at) {
        m_lost_at = lost_at;
    }
}

void partition_replica::send_update(std::string_view key, time_point now,
                                    replica_actions& actions) const
{
    const auto* epoch = newest_epoch();
    const auto stored = m_records.find(key);
    if (epoch == nullptr || stored == m_records.end()) {
        return;
    }
    const record_update update{m_partition, to_wire(stored->second, now)};
    for (const auto& holder : epoch->m_holders) {
        if (holder != m_self) {
            actions.m_messages.push_back({holder, update});
        }
    }
}

key_record partition_replica::to_wire(const stored_record& stored, time_point now) const
{
    key_record record = stored.m_record;
    record.m_expires_in = remaining(now, stored.m_expires);
    return record;
}

std::optional<milliseconds> partition_replica::lost_ago(time_point now) const
{
    if (!m_lost_at) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *m_lost_at);
}

} // namespace peridotrudder
