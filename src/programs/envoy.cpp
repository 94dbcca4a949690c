#include "programs/envoy.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "protocol/calls.h"

namespace saddlewing {
namespace {

constexpr Span database_wait{600}, platform_wait{2500};

NodeAnswer read_node_answer(int status, const std::string& body) {
  NodeAnswer answer;
  Json::Value value;
  std::string reason;
  if (status < 200 || status > 299)
    return answer.kind = NodeAnswer::Kind::refused, answer;
  answer.kind = NodeAnswer::Kind::garbled;
  if (!read_json(body, value, reason) || !value.isObject() || !value["is_done"].isBool())
    return answer;
  for (const char* name : {"interface", "position"})
    if (value.isMember(name) && !value[name].isUInt64())
      return answer;
  if (value.isMember("share") && (!value["share"].isNumeric() || !(value["share"].asDouble() >= 0 &&
                                                                   value["share"].asDouble() <= 1)))
    return answer;
  answer.kind = NodeAnswer::Kind::told;
  answer.is_done = value["is_done"].asBool();
  answer.share = value.get("share", 0).asDouble();
  answer.interface =
      value.isMember("interface")
          ? static_cast<int>(std::min<std::uint64_t>(value["interface"].asUInt64(), 1000))
          : 1;
  if (value.isMember("position"))
    answer.position = value["position"].asUInt64();
  return answer;
}

}  // namespace

Envoy::Envoy(const Startup& startup, Ring<CoreEvent>& events)
    : startup_(startup), events_(events), orders_(1024, [this] { poller_.wake(); }) {
}

void Envoy::start() {
  thread_ = std::thread([this] { run(); });
}

void Envoy::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void Envoy::run() {
  while (!should_stop_) {
    poller_.poll(schedule_.until_next(Clock::now(), Span(1000)));
    const Moment now = Clock::now();
    for (EnvoyOrder& order : orders_.take())
      begin(std::move(order), now);
    schedule_.run(now);
    std::erase_if(errands_, [](const auto& errand) { return errand->is_over; });
  }
}

bool Envoy::is_leased(const EnvoyOrder& order, Moment now) const {
  if (now < order.until)
    return true;
  const Moment until{Moment::duration(lease_until_.load())};
  return now < until && lease_term_ == order.owner_number;
}

// Nothing leaves once the lease is over under which it was decided: not here, and not when a
// connection stands later.
void Envoy::begin(EnvoyOrder order, Moment now) {
  errands_.push_back(std::make_unique<Errand>(*this, std::move(order)));
  Errand& errand = *errands_.back();
  if (!is_leased(errand.order, now))
    return finish(errand, 0);
  if (!errand.order.node_order.empty())
    return begin_node(errand, now);
  if (!errand.order.text.empty()) {
    schedule_.set(errand, now + database_wait);
    errand.link = std::make_unique<WireLink>(
        poller_, WireLink::Owner{[this, &errand](WireMessage&& message) {
                                   return take(errand, std::move(message));
                                 },
                                 [this, &errand](WireStep) {
                                   finish(errand, 0);
                                 }});
    Address address;
    if (!parse_address(errand.order.address, address) || !errand.link->connect(address) ||
        !errand.link->send(
            wire(WireKind::connect, {errand.order.service, "saddlewing", errand.order.id})))
      finish(errand, 0);
    return;
  }
  schedule_.set(errand, now + platform_wait);
  Json::Value value(Json::objectValue);
  value["service"] = errand.order.service;
  value["id"] = errand.order.id;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const std::string body = Json::writeString(builder, value);
  const CallRow& row = row_of(Call::raise);
  const std::string fields = std::string(field::duty_owner) + ": " + startup_.node_name + "\r\n" +
                             field::owner_number + ": " +
                             std::to_string(errand.order.owner_number) + "\r\n";
  call(errand, startup_.platform, row, fields, body);
}

void Envoy::begin_node(Errand& errand, Moment now) {
  schedule_.set(errand, now + database_wait);
  Address address;
  if (!parse_address(errand.order.address, address))
    return finish(errand, 0);
  call(errand, address, row_of(Call::move_step),
       std::string(field::meant_server) + ": " + errand.order.id + "\r\n", errand.order.node_order);
}

void Envoy::call(Errand& errand, const Address& address, const CallRow& row,
                 const std::string& fields, const std::string& body) {
  std::string request = std::string(row.method) + " " + std::string(row.path) +
                        " HTTP/1.1\r\nHost: " + address.text() + "\r\n" + fields;
  request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
  errand.caller = std::make_unique<Caller>(poller_, errand, address, 16384, 65536);
  const Moment latest = errand.order.node_order.empty() ? errand.order.until : Moment::max();
  if (!errand.caller->ask(request, false, {}, latest))
    finish(errand, 0);
}

bool Envoy::take(Errand& errand, WireMessage&& message) {
  if (errand.is_over)
    return false;
  if (message.kind == WireKind::error)
    finish(errand, 0);
  if (message.kind == WireKind::row)
    errand.row = message.field(0);
  if (message.kind != WireKind::ready || errand.is_over)
    return !errand.is_over;
  if (errand.is_greeted)
    finish(errand, 200);
  else if (!is_leased(errand.order, Clock::now()) ||
           !errand.link->send(wire_ask("-", errand.order.text)))
    finish(errand, 0);
  errand.is_greeted = true;
  return !errand.is_over;
}

void Envoy::finish(Errand& errand, int status) {
  if (errand.is_over)
    return;
  errand.is_over = true;
  schedule_.drop(errand);
  if (!errand.order.node_order.empty()) {
    const bool is_heard = status != 0 && errand.caller;
    NodeTold told{errand.order.token, is_heard
                                          ? read_node_answer(status, errand.caller->reader().body())
                                          : NodeAnswer{}};
    events_.push(std::move(told));
    return;
  }
  if (errand.caller) {
    LOG(INFO) << "envoy: the platform was told that " << errand.order.id << " is to lead "
              << errand.order.service << ": " << (status ? std::to_string(status) : "no answer");
    events_.push(Raised{errand.order.token, status});
    return;
  }
  if (errand.order.text.empty()) {
    events_.push(Raised{errand.order.token, 0});
    return;
  }
  Examined examined{errand.order.token, std::nullopt};
  DatabaseStatus read;
  if (status == 200 && read_status(errand.row, read))
    examined.status = read;
  events_.push(std::move(examined));
  errand.link->close();
}

void Envoy::Errand::on_due(Moment) {
  if (caller)
    caller->abort();
  envoy.finish(*this, 0);
}
void Envoy::Errand::on_outcome(Caller& from, Moment) {
  envoy.finish(*this, from.reader().response().getStatus());
}
void Envoy::Errand::on_breakdown(Caller&, Kind, Moment) {
  envoy.finish(*this, 0);
}

}  // namespace saddlewing
