#include "coordination/raft/pending_calls.h"
#include "protocol/forwarding_messages.h"

#include <json/json.h>
#include <xxhash.h>

#include <cstdio>

namespace saddlewing {
namespace {

constexpr std::size_t max_accepted = 256;

using AcceptedDigests = std::map<std::int64_t, std::uint64_t>;

AcceptedDigests read_accepted(const std::string& document) {
  AcceptedDigests accepted;
  ByteReader reader(document);
  while (reader.is_good() && !reader.is_complete()) {
    const auto version = static_cast<std::int64_t>(reader.number());
    accepted[version] = reader.number();
  }
  return reader.is_complete() ? accepted : AcceptedDigests{};
}

}  // namespace

std::uint64_t digest_of(const std::string& body) {
  return XXH3_64bits(body.data(), body.size());
}

std::string record_accepted(const std::string& document, Version version, std::uint64_t digest) {
  AcceptedDigests accepted = read_accepted(document);
  accepted.try_emplace(version.value, digest);
  // Dropped many at a time: in between a change of the sheet is what it gains at its end.
  if (accepted.size() > max_accepted + max_accepted / 4)
    while (accepted.size() > max_accepted)
      accepted.erase(accepted.begin());
  Writer writer;
  for (const auto& [number, known] : accepted)
    writer.number(static_cast<std::uint64_t>(number)).number(known);
  return writer.take();
}

Acceptance find_accepted(const std::string& document, Version version, std::uint64_t digest) {
  const AcceptedDigests accepted = read_accepted(document);
  if (accepted.empty() || version.value < accepted.begin()->first)
    return Acceptance::unknown;
  const auto found = accepted.find(version.value);
  return found != accepted.end() && found->second == digest ? Acceptance::accepted
                                                            : Acceptance::rejected;
}

std::string make_acknowledgement(const Entry& committed, Version version, std::uint64_t digest) {
  const std::uint64_t held = digest_of(committed.body);
  Acceptance taken = Acceptance::unknown;
  if (const auto document = committed.documents.find(accepted_document);
      document != committed.documents.end())
    taken = find_accepted(document->second, version, digest);
  if (version == committed.version)
    taken = digest == held ? Acceptance::accepted
                           : Acceptance::rejected;  // also if taken before there was such a sheet
  char hex[17];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(held));
  Json::Value value(Json::objectValue);
  value["version"] = Json::Int64(committed.version.value);
  value["digest"] = hex;
  value["changed"] = version == committed.version && taken == Acceptance::accepted;
  value["superseded"] = version < committed.version;
  value["taken"] =
      taken == Acceptance::unknown ? Json::Value() : Json::Value(taken == Acceptance::accepted);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value) + "\n";
}

std::uint64_t PendingCalls::add(bool is_read, Version version, std::string body,
                                std::uint64_t origin_token, TimePoint deadline) {
  Call& call = calls_[++last_token_];
  call.is_read = is_read;
  call.version = version;
  call.body = std::move(body);
  if (!is_read)
    call.digest = digest_of(call.body);
  call.origin_token = origin_token;
  call.deadline = deadline;
  return last_token_;
}

std::uint64_t PendingCalls::add(ForwardedCall forward, std::string origin,
                                IncarnationId origin_incarnation, TimePoint deadline) {
  const std::uint64_t token =
      add(forward.is_read, forward.version, std::move(forward.body), forward.token, deadline);
  Call& call = calls_[token];
  call.origin = std::move(origin);
  call.origin_incarnation = origin_incarnation;
  call.origin_term = forward.term;
  return token;
}

ForwardedCall PendingCalls::send(std::uint64_t token, const std::string& to, Term term) {
  Call& call = calls_[token];
  call.sent_to = to;
  call.asked_term = term;
  return {token, call.is_read, call.version, call.body, term};
}

std::uint64_t PendingCalls::handle_reply(const ForwardedReply& answer, const std::string& from) {
  if (answer.requester != incarnation_)
    return 0;
  const auto found = calls_.find(answer.token);
  if (found == calls_.end())
    return 0;
  Call& call = found->second;
  if (call.sent_to != from || answer.is_read != call.is_read || answer.version != call.version ||
      answer.digest != call.digest)
    return 0;
  if (call.is_read && answer.is_done && answer.term < call.asked_term)
    return 0;
  if (!answer.is_done) {
    call.refused_by = from;
    call.sent_to.clear();
  }
  return answer.token;
}

ForwardedReply PendingCalls::make_reply(const Call& call, bool is_done, Term term,
                                        std::string body) {
  return {call.origin_token, call.origin_incarnation, call.is_read, call.version, call.digest, term,
          is_done,           std::move(body)};
}

PendingCalls::Call* PendingCalls::find(std::uint64_t token) {
  const auto found = calls_.find(token);
  return found == calls_.end() ? nullptr : &found->second;
}

std::optional<PendingCalls::Call> PendingCalls::remove(std::uint64_t token) {
  const auto found = calls_.find(token);
  if (found == calls_.end())
    return std::nullopt;
  std::optional<Call> call = std::move(found->second);
  calls_.erase(found);
  return call;
}

}  // namespace saddlewing
