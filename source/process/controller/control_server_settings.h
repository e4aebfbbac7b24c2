#ifndef MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_SERVER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_SERVER_SETTINGS_H_

namespace marjoramsill {

struct http_server_settings;
struct node_settings;

/// Settings of the server on the control address of a control process.
http_server_settings ControlServerSettings(const node_settings& settings);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_CONTROL_SERVER_SETTINGS_H_
