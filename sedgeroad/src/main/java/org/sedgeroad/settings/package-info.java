/** Settings of entry and gateway instances: reading, validation and reloading of INI files. */
package org.sedgeroad.settings;
