# Our own settings for installations that check a new configuration before a reload takes it:
#   serve --settings deploy/expectations-gate.hcl
# Off on the platform: its run line names no settings.
expectations {
  files     = ["expectations.hcl"]
  scenarios = 60
}
