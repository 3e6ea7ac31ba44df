# Our own settings for installations whose doormans may talk to one another:
#   serve --settings deploy/fleet.hcl
# Off on the platform: its run line names no settings. docs/FLEET.md tells each key; the addresses are each doorman's own,
# the key file is the same for all: head -c 32 /dev/urandom | base64 > fleet.key; chmod 600 fleet.key
fleet "kartli-swap-cache" {
  listen   = "127.0.0.1:7101"
  seeds    = ["127.0.0.2:7101", "127.0.0.3:7101"]
  key_file = "fleet.key"
  period   = "500ms"
}
